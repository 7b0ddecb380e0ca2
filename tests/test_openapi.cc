#include "caller_path.h"
#include "operator_request.h"

#include <gtest/gtest.h>
#include <jansson.h>
#include <set>
#include <string>

static const char *const methods[] = { "get",	  "put",  "post",  "delete",
				       "options", "head", "patch", "trace" };

class OpenApi : public testing::Test
{
      protected:
	json_t *document = json_load_file(KB_SOURCE_DIR "/docs/openapi.json",
					  JSON_REJECT_DUPLICATES, nullptr);

	void SetUp() override
	{
		ASSERT_NE(nullptr, document);
	}

	void TearDown() override
	{
		json_decref(document);
	}

	/* Resolves a reference within the document. */
	const json_t *resolve(const std::string &reference)
	{
		const json_t *found = document;
		size_t start = 2;

		EXPECT_EQ("#/", reference.substr(0, 2));
		while (found && start < reference.size()) {
			size_t end = reference.find('/', start);

			if (end == std::string::npos)
				end = reference.size();
			found = json_object_get(
				found,
				reference.substr(start, end - start).c_str());
			start = end + 1;
		}
		return found;
	}

	void check_references(const json_t *value)
	{
		const char *key;
		json_t *member;
		size_t index;

		if (json_is_object(value)) {
			json_object_foreach((json_t *)value, key, member)
			{
				if (!strcmp(key, "$ref")) {
					EXPECT_NE(nullptr,
						  resolve(json_string_value(
							  member)))
						<< json_string_value(member);
				}
				check_references(member);
			}
		}
		json_array_foreach((json_t *)value, index, member)
			check_references(member);
	}
};

static void add_route(void *ctx, const char *path, const char *method)
{
	auto *routes = static_cast<std::set<std::string> *>(ctx);

	EXPECT_TRUE(routes->insert(std::string(method) + " " + path).second)
		<< path;
}

TEST_F(OpenApi, RoutesMatchTheCode)
{
	json_t *paths = json_object_get(document, "paths");
	std::set<std::string> expected, found;
	const char *path;
	json_t *item;

	kb_caller_path_each(add_route, &expected);
	kb_operator_request_each(add_route, &expected);
	json_object_foreach(
		paths, path,
		item) for (const char *method :
			   methods) if (json_object_get(item, method))
		found.insert(std::string(method) + " " + path);
	EXPECT_EQ(expected, found);
}

/* Replaces the parameters of a path by names. */
static std::string fill(std::string route)
{
	const std::pair<std::string, std::string> values[] = {
		{ "{kind}", "host" }, { "{name}", "h1" }
	};

	for (const auto &value : values) {
		size_t at = route.find(value.first);

		if (at != std::string::npos)
			route.replace(at, value.first.size(), value.second);
	}
	return route;
}

TEST_F(OpenApi, AllCallerRoutesAreParsed)
{
	std::set<std::string> routes;

	kb_caller_path_each(add_route, &routes);
	for (const std::string &route : routes) {
		std::string path = route.substr(route.find(' ') + 1);
		kb_caller_path_t parsed;

		if (path == "/healthz" || path == "/metrics")
			continue;
		EXPECT_EQ(KB_OK, kb_caller_path_parse(
					 { path.data(), path.size() }, &parsed))
			<< path;
	}
}

TEST_F(OpenApi, OnlyListedOperatorRoutesAreParsed)
{
	const std::pair<enum evhttp_cmd_type, std::string> verbs[] = {
		{ EVHTTP_REQ_GET, "get " },
		{ EVHTTP_REQ_PUT, "put " },
		{ EVHTTP_REQ_DELETE, "delete " },
		{ EVHTTP_REQ_POST, "post " },
	};
	std::set<std::string> routes, filled;

	kb_operator_request_each(add_route, &routes);
	for (const std::string &route : routes)
		filled.insert(fill(route));
	for (const std::string &route : filled) {
		std::string path = route.substr(route.find(' ') + 1);

		for (const auto &verb : verbs) {
			kb_operator_input_t input = {};
			kb_operator_request_t request;
			kb_fault_t fault;

			input.method = verb.first;
			input.path = path.c_str();
			EXPECT_EQ(filled.count(verb.second + path) == 1,
				  !kb_operator_request_parse(&request, &input,
							     &fault))
				<< verb.second << path;
		}
	}
}

TEST_F(OpenApi, OperationsHaveIdsAndReferencesResolve)
{
	json_t *paths = json_object_get(document, "paths");
	std::set<std::string> ids;
	const char *path;
	json_t *item;

	EXPECT_STREQ("3.1.0",
		     json_string_value(json_object_get(document, "openapi")));
	json_object_foreach(paths, path, item)
	{
		for (const char *method : methods) {
			json_t *operation = json_object_get(item, method);
			const char *id = json_string_value(
				json_object_get(operation, "operationId"));

			if (!operation)
				continue;
			ASSERT_NE(nullptr, id) << path;
			EXPECT_TRUE(ids.insert(id).second) << id;
			EXPECT_TRUE(json_object_size(
				json_object_get(operation, "responses")))
				<< path;
		}
	}
	check_references(document);
}
