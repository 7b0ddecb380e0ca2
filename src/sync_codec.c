#include "sync_codec.h"

#include <stdlib.h>
#include <zlib.h>

enum {
	/* Largest size of changes before compression. */
	DATA_MAX_BYTES = 64 * 1024 * 1024,
};

static kb_result_t compress_data(kb_sync_data_t *data, const void *raw,
				 size_t size)
{
	uLongf len = compressBound(size);

	data->bytes = malloc(len);
	if (!data->bytes)
		return KB_ERR_NO_MEMORY;
	if (compress2((Bytef *)data->bytes, &len, raw, size, Z_BEST_SPEED) !=
	    Z_OK) {
		kb_sync_data_finish(data);
		return KB_ERR_NO_MEMORY;
	}
	if (len > KBS_FEED_MAX) {
		kb_sync_data_finish(data);
		return KB_ERR_TOO_LARGE;
	}
	data->size = (uint32_t)size;
	data->len = len;
	return KB_OK;
}

kb_result_t kb_sync_codec_encode(kb_sync_data_t *data,
				 const kb_mirror_t *mirror,
				 const kbs_sync_args *args)
{
	kbs_sync_res changes;
	kb_result_t result;
	size_t size;
	char *raw;
	XDR xdr;

	memset(data, 0, sizeof(*data));
	data->after = (int64_t)args->revision;
	data->whole = args->whole ? 1 : 0;
	data->revision = mirror->revision;
	result = kb_mirror_fill_sync(mirror, args, &changes, mirror->as_of);
	if (result)
		return result;
	size = xdr_sizeof((xdrproc_t)xdr_kbs_sync_res, &changes);
	result = KB_ERR_TOO_LARGE;
	if (size > DATA_MAX_BYTES)
		goto out;
	raw = malloc(size + 1);
	result = KB_ERR_NO_MEMORY;
	if (!raw)
		goto out;
	xdrmem_create(&xdr, raw, (u_int)size, XDR_ENCODE);
	if (xdr_kbs_sync_res(&xdr, &changes))
		result = compress_data(data, raw, size);
	xdr_destroy(&xdr);
	free(raw);
out:
	kb_mirror_sync_finish(&changes);
	return result;
}

void kb_sync_data_finish(kb_sync_data_t *data)
{
	free(data->bytes);
	memset(data, 0, sizeof(*data));
}

static kb_result_t decode_data(const kbs_feed_res *res, kbs_sync_res *changes)
{
	uLongf size = res->data_size;
	kb_result_t result = KB_ERR_PROTOCOL;
	char *raw;
	XDR xdr;

	memset(changes, 0, sizeof(*changes));
	if (size > DATA_MAX_BYTES)
		return KB_ERR_PROTOCOL;
	raw = malloc(size + 1);
	if (!raw)
		return KB_ERR_NO_MEMORY;
	if (uncompress((Bytef *)raw, &size, (const Bytef *)res->data.data_val,
		       res->data.data_len) == Z_OK &&
	    size == res->data_size) {
		xdrmem_create(&xdr, raw, (u_int)size, XDR_DECODE);
		if (xdr_kbs_sync_res(&xdr, changes))
			result = KB_OK;
		xdr_destroy(&xdr);
	}
	free(raw);
	return result;
}

kb_result_t kb_sync_codec_apply(kb_mirror_t *mirror, const kbs_feed_res *res,
				kb_time_t sent_at)
{
	kbs_sync_res changes = { .revision = res->revision };
	kb_result_t result = KB_OK;

	/* An answer without changes shows the age of an equal revision only. */
	if (!res->data_size && (int64_t)res->revision > mirror->revision)
		return KB_ERR_PROTOCOL;
	if (res->data_size)
		result = decode_data(res, &changes);
	changes.age_us = res->age_us;
	/* The other host received the call no sooner than it was sent. */
	if (!result)
		result = kb_mirror_apply_sync(mirror, &changes,
					      sent_at + res->waited_us *
								KB_NS_PER_US);
	if (res->data_size)
		xdr_free((xdrproc_t)xdr_kbs_sync_res, (char *)&changes);
	return result;
}
