#ifndef KB_TESTS_FAKE_CONFIG_H
#define KB_TESTS_FAKE_CONFIG_H

#include "config_view.h"
#include "store.h"

#include <event2/event.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

struct StoredKey {
	std::string value;
	int64_t revision, created, version;
};

/* An in-memory store that answers from the event loop; calls can fail. */
class FakeStore
{
      public:
	kb_store_t store = { &ops };
	std::map<std::string, StoredKey> keys;
	int64_t revision = 10;
	/* Results of all following calls. */
	kb_result_t read_result = KB_OK;
	kb_result_t write_result = KB_OK;
	/* Whether writes take effect, independently of their result. */
	bool applies = true;
	/* Whether answers are deferred until release(). */
	bool is_deferring = false;
	/* Called for each change that takes effect. */
	std::function<void(const std::string &key)> changed;

	explicit FakeStore(struct event_base *base) : base(base)
	{
	}

	void release()
	{
		is_deferring = false;
		for (auto &run : deferred)
			later(std::move(run));
		deferred.clear();
	}

	void set(const std::string &key, const std::string &value)
	{
		StoredKey &k = keys[key];

		revision++;
		k = { value, revision, k.created ? k.created : revision,
		      k.version + 1 };
		if (changed)
			changed(key);
	}

      private:
	struct event_base *base;
	std::vector<std::function<void()>> deferred;
	static const kb_store_ops_t ops;

	static FakeStore *self(kb_store_t *store)
	{
		return reinterpret_cast<FakeStore *>(store);
	}

	void later(std::function<void()> run)
	{
		const struct timeval now = { 0, 0 };
		auto call = [](evutil_socket_t, short, void *ctx) {
			auto *run = static_cast<std::function<void()> *>(ctx);

			(*run)();
			delete run;
		};

		if (is_deferring) {
			deferred.push_back(std::move(run));
			return;
		}
		event_base_once(base, -1, EV_TIMEOUT, call,
				new std::function<void()>(std::move(run)),
				&now);
	}

	kb_store_entry_t entry_of(const std::string &key) const
	{
		const StoredKey &k = keys.at(key);

		return { { key.data(), key.size() },
			 { k.value.data(), k.value.size() },
			 k.revision,
			 k.created,
			 k.version,
			 0 };
	}

	void answer_get(const std::string &key, kb_store_range_fn_t *done,
			void *ctx)
	{
		kb_store_entry_t entry;
		kb_store_range_t range = { revision, keys.count(key), &entry };

		if (range.count)
			entry = entry_of(key);
		done(ctx, read_result, read_result == KB_OK ? &range : nullptr);
	}

	bool apply(const std::string &key, const std::string &value,
		   const std::string &record, int64_t expected, bool remove)
	{
		int64_t present = keys.count(key) ? keys[key].revision : 0;

		if (expected != KB_STORE_ANY && expected != present)
			return false;
		if (!remove) {
			set(key, value);
			return true;
		}
		keys.erase(key);
		set(record, value);
		if (changed)
			changed(key);
		return true;
	}

	kb_result_t write(const kb_store_write_t *write, bool remove,
			  kb_store_write_fn_t *done, void *ctx)
	{
		std::string key(write->key.data, write->key.len);
		std::string value(write->value.data, write->value.len);
		std::string record(write->record.data, write->record.len);
		int64_t expected = write->expected;

		later([=] {
			bool ok = applies &&
				  apply(key, value, record, expected, remove);
			kb_store_written_t written = { revision, nullptr };
			kb_store_entry_t entry;

			if (write_result != KB_OK) {
				done(ctx, write_result, nullptr);
				return;
			}
			if (!ok && keys.count(key)) {
				entry = entry_of(key);
				written.current = &entry;
			}
			done(ctx, ok ? KB_OK : KB_ERR_CONFLICT, &written);
		});
		return KB_OK;
	}

	static kb_result_t get(kb_store_t *store, const kb_store_keys_t *keys,
			       kb_store_range_fn_t *done, void *ctx)
	{
		std::string key(keys->key.data, keys->key.len);

		self(store)->later(
			[=] { self(store)->answer_get(key, done, ctx); });
		return KB_OK;
	}

	static kb_result_t put(kb_store_t *store, const kb_store_write_t *write,
			       kb_store_write_fn_t *done, void *ctx)
	{
		return self(store)->write(write, false, done, ctx);
	}

	static kb_result_t remove(kb_store_t *store,
				  const kb_store_write_t *write,
				  kb_store_write_fn_t *done, void *ctx)
	{
		return self(store)->write(write, true, done, ctx);
	}

	static void cancel(kb_store_t *, void *)
	{
	}
};

inline const kb_store_ops_t FakeStore::ops = {
	FakeStore::get, FakeStore::put, FakeStore::remove,
	nullptr,	nullptr,	nullptr,
	nullptr,	nullptr,	FakeStore::cancel,
};

/* In-memory resources, all in force on two of three hosts. */
class FakeView
{
      public:
	kb_config_view_t view = { &ops };
	std::map<std::pair<int, std::string>, kb_resource_t> resources;
	int64_t revision = 0;
	size_t in_force = 2;
	/* Changes before this revision are not available. */
	int64_t first_available = 0;
	kb_config_listener_t *listener = nullptr;

	void set(const std::string &key, const std::string &value, int64_t at)
	{
		kb_resource_t resource;
		kb_fault_t fault;
		kb_config_event_t change;

		ASSERT_EQ(KB_OK,
			  kb_resource_parse(
				  &resource, { key.data(), key.size() },
				  { value.data(), value.size() }, at, &fault))
			<< fault.path << " " << fault.message;
		revision = at;
		resources[{ resource.kind, resource.name.data }] = resource;
		change = { resource.kind, kb_name_str(&resource.name), at,
			   &resource };
		if (listener)
			listener->ops->changed(listener, &change);
	}

	void remove(kb_kind_t kind, const std::string &name, int64_t at)
	{
		kb_config_event_t change = {
			kind, { name.data(), name.size() }, at, nullptr
		};

		revision = at;
		resources.erase({ kind, name });
		if (listener)
			listener->ops->changed(listener, &change);
	}

      private:
	static const kb_config_view_ops_t ops;

	static FakeView *self(kb_config_view_t *view)
	{
		return reinterpret_cast<FakeView *>(view);
	}

	static const kb_resource_t *find(kb_config_view_t *view, kb_kind_t kind,
					 kb_str_t name)
	{
		auto found = self(view)->resources.find(
			{ kind, std::string(name.data, name.len) });

		return found == self(view)->resources.end() ? nullptr
							    : &found->second;
	}

	static void each(kb_config_view_t *view, kb_kind_t kind,
			 void (*fn)(void *ctx, const kb_resource_t *resource),
			 void *ctx)
	{
		for (const auto &r : self(view)->resources)
			if (r.first.first == kind)
				fn(ctx, &r.second);
	}

	static int64_t get_revision(kb_config_view_t *view)
	{
		return self(view)->revision;
	}

	static void status(kb_config_view_t *view, kb_kind_t, kb_str_t, int64_t,
			   kb_config_status_t *status)
	{
		status->in_force = self(view)->in_force;
		status->hosts = 3;
		if (status->in_force == 3)
			return;
		status->missing_count = 1;
		kb_name_set(&status->missing[0], KB_STR("h4"));
	}

	static kb_result_t since(kb_config_view_t *view, int64_t after,
				 void (*fn)(void *, const kb_config_event_t *),
				 void *ctx)
	{
		if (after < self(view)->first_available)
			return KB_ERR_NOT_FOUND;
		for (const auto &r : self(view)->resources) {
			kb_config_event_t change = {
				r.second.kind, kb_name_str(&r.second.name),
				r.second.revision, &r.second
			};

			if (r.second.revision > after)
				fn(ctx, &change);
		}
		return KB_OK;
	}

	static void listen(kb_config_view_t *view,
			   kb_config_listener_t *listener)
	{
		self(view)->listener = listener;
	}

	static void unlisten(kb_config_view_t *view, kb_config_listener_t *)
	{
		self(view)->listener = nullptr;
	}

	static json_t *report(kb_config_view_t *)
	{
		return json_pack("{s:[]}", "hosts");
	}
};

inline const kb_config_view_ops_t FakeView::ops = {
	FakeView::find,	    FakeView::each,   FakeView::get_revision,
	FakeView::status,   FakeView::since,  FakeView::listen,
	FakeView::unlisten, FakeView::report,
};

#endif
