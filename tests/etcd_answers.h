#ifndef KB_TESTS_ETCD_ANSWERS_H
#define KB_TESTS_ETCD_ANSWERS_H

#include "fake_server.h"

#include <sodium.h>

inline std::string b64(const std::string &text)
{
	std::string out(sodium_base64_encoded_len(
				text.size(), sodium_base64_VARIANT_ORIGINAL),
			0);

	sodium_bin2base64(&out[0], out.size(),
			  reinterpret_cast<const unsigned char *>(text.data()),
			  text.size(), sodium_base64_VARIANT_ORIGINAL);
	out.pop_back();
	return out;
}

inline std::string kv(const std::string &key, int revision,
		      const std::string &value)
{
	return "{\"key\":\"" + b64(key) + "\",\"mod_revision\":\"" +
	       std::to_string(revision) + "\",\"value\":\"" + b64(value) +
	       "\"}";
}

inline std::string header(int revision)
{
	return "\"header\":{\"revision\":\"" + std::to_string(revision) + "\"}";
}

inline Step range(int revision, const std::string &kvs)
{
	return { Step::ANSWER,
		 HTTP_OK,
		 { "{" + header(revision) + ",\"kvs\":[" + kvs + "]}" } };
}

inline Step txn(int revision, bool succeeded, const std::string &kvs)
{
	return { Step::ANSWER,
		 HTTP_OK,
		 { "{" + header(revision) +
		   ",\"succeeded\":" + (succeeded ? "true" : "false") +
		   ",\"responses\":[{\"response_range\":{\"kvs\":[" + kvs +
		   "]}}]}" } };
}

inline std::string message(const std::string &rest)
{
	return "{\"result\":{" + rest + "}}\n";
}

inline std::string created()
{
	return message(header(5) + ",\"created\":true");
}

inline std::string event(int revision, const std::string &key,
			 const std::string &value)
{
	return message(header(90) + ",\"events\":[{\"kv\":" +
		       kv(key, revision, value) + "}]");
}

static const Step cut = { Step::CLOSE, 0, {} };
static const Step hang = { Step::HANG, 0, {} };

#endif
