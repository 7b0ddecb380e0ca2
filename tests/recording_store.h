#ifndef KB_RECORDING_STORE_H
#define KB_RECORDING_STORE_H

#include "store.h"

#include <string>
#include <vector>

/* A store that records calls; the test answers them. */
struct RecordingStore {
	enum Kind { GET, PUT, REMOVE, POLL, GRANT, KEEP };

	struct Call {
		Kind kind;
		kb_store_range_fn_t *on_range;
		kb_store_write_fn_t *on_written;
		kb_store_lease_fn_t *on_lease;
		void *ctx;
		/* Of a read. */
		std::string key;
		bool stale;
		/* Of a poll the revision, of a write or keep-alive the lease.
		 */
		int64_t number = 0;
	};

	kb_store_t base;
	std::vector<Call> calls;

	RecordingStore()
	{
		static const kb_store_ops_t ops = {
			get,   put,  remove,  nullptr, poll,
			grant, keep, nullptr, cancel,
		};

		base.ops = &ops;
	}

	/* Takes the oldest call that is not answered. */
	Call take()
	{
		Call call = calls.front();

		calls.erase(calls.begin());
		return call;
	}

	/* Fails the oldest call that is not answered. */
	void fail(kb_result_t result)
	{
		Call call = take();

		if (call.on_range)
			call.on_range(call.ctx, result, nullptr);
		if (call.on_written)
			call.on_written(call.ctx, result, nullptr);
		if (call.on_lease)
			call.on_lease(call.ctx, result, 0, 0);
	}

      private:
	static kb_result_t add(kb_store_t *store, const Call &call)
	{
		reinterpret_cast<RecordingStore *>(store)->calls.push_back(
			call);
		return KB_OK;
	}

	static kb_result_t get(kb_store_t *store, const kb_store_keys_t *keys,
			       kb_store_range_fn_t *done, void *ctx)
	{
		return add(store, { GET, done, nullptr, nullptr, ctx,
				    std::string(keys->key.data, keys->key.len),
				    keys->stale != 0 });
	}

	static kb_result_t put(kb_store_t *store, const kb_store_write_t *write,
			       kb_store_write_fn_t *done, void *ctx)
	{
		return add(store, { PUT, nullptr, done, nullptr, ctx, "", false,
				    write->lease });
	}

	static kb_result_t remove(kb_store_t *store, const kb_store_write_t *,
				  kb_store_write_fn_t *done, void *ctx)
	{
		return add(store,
			   { REMOVE, nullptr, done, nullptr, ctx, "", false });
	}

	static kb_result_t poll(kb_store_t *store, const kb_store_keys_t *,
				int64_t after, kb_time_t,
				kb_store_range_fn_t *done, void *ctx)
	{
		return add(store, { POLL, done, nullptr, nullptr, ctx, "",
				    false, after });
	}

	static kb_result_t grant(kb_store_t *store, kb_time_t,
				 kb_store_lease_fn_t *done, void *ctx)
	{
		return add(store,
			   { GRANT, nullptr, nullptr, done, ctx, "", false });
	}

	static kb_result_t keep(kb_store_t *store, int64_t lease,
				kb_store_lease_fn_t *done, void *ctx)
	{
		return add(store, { KEEP, nullptr, nullptr, done, ctx, "",
				    false, lease });
	}

	static void cancel(kb_store_t *store, void *ctx)
	{
		auto &calls = reinterpret_cast<RecordingStore *>(store)->calls;

		for (size_t i = 0; i < calls.size();)
			if (calls[i].ctx == ctx)
				calls.erase(calls.begin() + (long)i);
			else
				i++;
	}
};

#endif
