#include "statement.h"

#include <ctype.h>
#include <strings.h>

enum { MAX_TOKENS = 32 };

/* `@` matches a table name and `?` a value; the case of words is ignored. */
static const struct {
	st_form_t form;
	const char *pattern;
} patterns[] = {
	{ ST_BEGIN, "BEGIN" },
	{ ST_BEGIN_READ, "BEGIN READ ONLY" },
	{ ST_COMMIT, "COMMIT" },
	{ ST_ROLLBACK, "ROLLBACK" },
	{ ST_SELECT_ONE, "SELECT 1" },
	{ ST_INSERT, "INSERT INTO @ ( ID , BODY ) VALUES ( ? , ? )" },
	{ ST_INSERT_BODY, "INSERT INTO @ ( BODY ) VALUES ( ? )" },
	{ ST_UPDATE, "UPDATE @ SET BODY = ? WHERE ID = ?" },
	{ ST_UPDATE_CHECKED,
	  "UPDATE @ SET BODY = ? WHERE ID = ? AND BODY = ?" },
	{ ST_DELETE, "DELETE FROM @ WHERE ID = ?" },
	{ ST_SELECT_ID, "SELECT ID , BODY FROM @ WHERE ID = ?" },
	{ ST_SELECT_BODY, "SELECT ID , BODY FROM @ WHERE BODY = ?" },
	{ ST_SELECT_ALL, "SELECT ID , BODY FROM @" },
	{ ST_SELECT_LIMIT, "SELECT ID , BODY FROM @ LIMIT ?" },
	{ ST_COUNT, "SELECT COUNT ( * ) FROM @" },
	{ ST_PROBE, "SELECT * FROM KUMQUAT.PROBE ( )" },
	{ ST_FENCE, "SELECT * FROM KUMQUAT.FENCE ( ? , ? )" },
	{ ST_PROMOTE, "SELECT * FROM KUMQUAT.PROMOTE ( ? , ? )" },
	{ ST_FOLLOW, "SELECT * FROM KUMQUAT.FOLLOW ( ? , ? , ? )" },
	{ ST_POSITION, "SELECT * FROM KUMQUAT.POSITION ( )" },
};

typedef enum st_token_kind {
	TOKEN_WORD,
	TOKEN_LITERAL,
	TOKEN_PARAM,
	TOKEN_SIGN,
} st_token_kind_t;

typedef struct st_token {
	st_token_kind_t kind;
	kb_str_t text;
} st_token_t;

static int is_word(char c)
{
	return isalnum((unsigned char)c) || c == '_' || c == '.';
}

static void skip(kb_str_t *text, size_t count)
{
	text->data += count;
	text->len -= count;
}

static size_t word_length(kb_str_t text)
{
	size_t n = 0;

	while (n < text.len && is_word(text.data[n]))
		n++;
	return n;
}

/* Reads a quoted literal; a doubled quote inside is not supported. */
static kb_result_t next_literal(kb_str_t *text, st_token_t *token)
{
	const char *end = memchr(text->data + 1, '\'', text->len - 1);

	if (!end)
		return KB_ERR_INVALID;
	token->kind = TOKEN_LITERAL;
	token->text.data = text->data + 1;
	token->text.len = (size_t)(end - text->data) - 1;
	skip(text, token->text.len + 2);
	return KB_OK;
}

static kb_result_t next_token(kb_str_t *text, st_token_t *token)
{
	size_t n = word_length(*text);

	if (text->data[0] == '\'')
		return next_literal(text, token);
	token->kind = n ? TOKEN_WORD : TOKEN_SIGN;
	token->text.data = text->data;
	token->text.len = n ? n : 1;
	skip(text, token->text.len);
	if (token->text.data[0] != '$')
		return KB_OK;
	token->kind = TOKEN_PARAM;
	token->text.data = text->data;
	token->text.len = word_length(*text);
	skip(text, token->text.len);
	return KB_OK;
}

/* Reads the tokens up to the end of the statement. */
static kb_result_t tokenize(kb_str_t *text, st_token_t *tokens, size_t *count)
{
	for (*count = 0; text->len;) {
		if (isspace((unsigned char)text->data[0])) {
			skip(text, 1);
			continue;
		}
		if (text->data[0] == ';') {
			skip(text, 1);
			return KB_OK;
		}
		if (*count == MAX_TOKENS || next_token(text, &tokens[*count]))
			return KB_ERR_INVALID;
		++*count;
	}
	return KB_OK;
}

static kb_result_t parse_value(st_statement_t *statement,
			       const st_token_t *token)
{
	st_value_t *value = &statement->values[statement->value_count++];
	uint64_t number = 0;

	if (token->kind == TOKEN_SIGN)
		return KB_ERR_INVALID;
	if (token->kind != TOKEN_PARAM) {
		value->param = 0;
		value->literal = token->text;
		return KB_OK;
	}
	if (kb_str_to_u64(token->text, &number) || !number ||
	    number > ST_STATEMENT_MAX_VALUES)
		return KB_ERR_INVALID;
	value->param = (unsigned)number;
	return KB_OK;
}

static kb_result_t match_token(st_statement_t *statement, kb_str_t part,
			       const st_token_t *token)
{
	if (part.data[0] == '?')
		return parse_value(statement, token);
	if (part.data[0] == '@') {
		if (token->kind != TOKEN_WORD)
			return KB_ERR_INVALID;
		return kb_name_set(&statement->table, token->text);
	}
	if (token->kind == TOKEN_LITERAL || token->text.len != part.len ||
	    strncasecmp(token->text.data, part.data, part.len) != 0)
		return KB_ERR_INVALID;
	return KB_OK;
}

static kb_result_t match(st_statement_t *statement, const char *pattern,
			 const st_token_t *tokens, size_t count)
{
	size_t i = 0;

	statement->value_count = 0;
	while (*pattern) {
		kb_str_t part = { pattern, strcspn(pattern, " ") };

		if (i == count || match_token(statement, part, &tokens[i++]))
			return KB_ERR_INVALID;
		pattern += part.len;
		pattern += strspn(pattern, " ");
	}
	return i == count ? KB_OK : KB_ERR_INVALID;
}

kb_result_t st_statement_parse(st_statement_t *statement, kb_str_t *text)
{
	st_token_t tokens[MAX_TOKENS];
	size_t count;

	memset(statement, 0, sizeof(*statement));
	if (tokenize(text, tokens, &count))
		return KB_ERR_INVALID;
	statement->form = ST_EMPTY;
	if (!count)
		return KB_OK;
	for (size_t i = 0; i < sizeof(patterns) / sizeof(patterns[0]); i++) {
		if (match(statement, patterns[i].pattern, tokens, count))
			continue;
		statement->form = patterns[i].form;
		return KB_OK;
	}
	return KB_ERR_INVALID;
}

unsigned st_statement_params(const st_statement_t *statement)
{
	unsigned count = 0;

	for (size_t i = 0; i < statement->value_count; i++)
		if (statement->values[i].param > count)
			count = statement->values[i].param;
	return count;
}
