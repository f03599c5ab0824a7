#include "net/out_buffer.h"

#include "wire/socket.h"

/* A body of at most this size is sent in one piece with the text before it. */
#define COPY_BYTES ((size_t)16 << 10)
/* A larger text buffer is freed once it is sent instead of kept. */
#define KEEP_BYTES ((size_t)32 << 10)

void out_buffer_init(struct out_buffer *out)
{
	out->text = g_string_new(NULL);
	out->body = NULL;
	out->sent = 0;
}

void out_buffer_clear(struct out_buffer *out)
{
	g_string_free(out->text, TRUE);
	caller_body_unref(out->body);
}

void out_buffer_append(struct out_buffer *out, struct str text)
{
	g_string_append_len(out->text, text.data, (gssize)text.len);
}

void out_buffer_set_body(struct out_buffer *out, struct caller_body *body)
{
	if (body->bytes->len <= COPY_BYTES)
		g_string_append_len(out->text, body->bytes->str,
				    (gssize)body->bytes->len);
	else
		out->body = caller_body_ref(body);
}

bool out_buffer_pending(const struct out_buffer *out)
{
	return out->text->len || out->body;
}

/* Frees what is sent completely. */
static void drop_sent(struct out_buffer *out)
{
	size_t len = out->text->len + (out->body ? out->body->bytes->len : 0);

	if (out->sent < len)
		return;
	out->sent = 0;
	caller_body_unref(out->body);
	out->body = NULL;
	g_string_truncate(out->text, 0);
	if (out->text->allocated_len <= KEEP_BYTES)
		return;
	g_string_free(out->text, TRUE);
	out->text = g_string_new(NULL);
}

ssize_t out_buffer_write(struct out_buffer *out, int fd)
{
	const GString *part = out->text;
	size_t at = out->sent;
	ssize_t n;

	if (at >= part->len && out->body) {
		at -= part->len;
		part = out->body->bytes;
	}
	n = socket_write(fd, part->str + at, part->len - at);
	if (n > 0) {
		out->sent += (size_t)n;
		drop_sent(out);
	}
	return n;
}
