#include "conf/internal.h"

#include <string.h>

#define JSON_DEPTH_MAX 8
/* Copying or blanking this many bytes counts as one row.  */
#define BYTES_PER_ROW 256
/* Rows in each run that qsort sorts in one step; the runs are then merged.  */
#define SORT_RUN_ROWS 4096

typedef enum
{
  STATE_COPY,   /* copies source to text */
  STATE_BLANK,  /* overwrites the comments in text with spaces */
  STATE_OPEN,   /* reads the opening brace */
  STATE_MEMBER, /* reads a field, or the start of a section or the document */
  STATE_ROW,    /* reads a row of a section */
  STATE_SORT,   /* sorts the blocks if they are out of order */
  STATE_FINISH, /* checks the configuration */
} ReadState;

typedef enum
{
  LEX_TEXT,
  LEX_STRING,
  LEX_ESCAPE,
  LEX_LINE_COMMENT,
  LEX_BLOCK_COMMENT,
} LexState;

/* The fields of an operator's change that stand beside its document.  */
typedef struct
{
  char *op_id;
  char *author;
  uint64_t base_version;
} Envelope;

static const CfField envelope_fields[] = {
  { "op_id", CF_FIELD_NAME, offsetof (Envelope, op_id) },
  { "author", CF_FIELD_TEXT, offsetof (Envelope, author) },
  { "base_version", CF_FIELD_U64, offsetof (Envelope, base_version),
    .max = INT64_MAX - 1 },
};

/* Bits of seen_members: the sections from 0 in the order of cf_sections,
   blocks, the fields of the document from SEEN_FIELDS, those of the envelope
   from SEEN_ENVELOPE, and the document as a member of a change.  */
#define SEEN_BLOCKS 16
#define SEEN_FIELDS 17
#define SEEN_ENVELOPE 24
#define SEEN_DOCUMENT 31

typedef struct
{
  CfJob job;
  gboolean has_envelope; /* the text is a change, with a document in it */
  gboolean in_document;  /* reads the document, not the envelope around it */
  Envelope envelope;
  GBytes *source;
  char *text; /* copy of source, comments blanked, NUL-terminated */
  gsize length;
  gsize position; /* in text */
  LexState lex_state;
  ReadState state;
  gboolean is_first; /* nothing in the open object or array was read yet */
  const CfSchema *section; /* NULL for blocks */
  guint row;               /* index of the next row in its section */
  uint32_t seen_members;   /* to reject a member that occurs twice */
  struct json_tokener *tokener;
  CfBlockReader block_reader;
  CfBlock *merge_buffer; /* as long as the array of blocks */
  guint sort_width;      /* rows in each sorted run; 0: runs not all sorted */
  guint sort_position;   /* row at which the next run or pair of runs starts */
} Reader;

/* Overwrites comments from START up to, but not including, END with spaces.
   Reads one byte beyond END, where the text has at least its NUL.  Returns the
   position to continue at, at most END + 1.  */
static gsize
blank_comments (char *text, gsize start, gsize end, LexState *lex_state)
{
  gsize position = start;

  for (; position < end; position++)
    {
      char next = text[position + 1];

      if (*lex_state == LEX_TEXT && text[position] == '"')
        *lex_state = LEX_STRING;
      else if (*lex_state == LEX_STRING && text[position] == '"')
        *lex_state = LEX_TEXT;
      else if (*lex_state == LEX_STRING && text[position] == '\\')
        *lex_state = LEX_ESCAPE;
      else if (*lex_state == LEX_ESCAPE)
        *lex_state = LEX_STRING;
      else if (*lex_state == LEX_TEXT && text[position] == '/'
               && (next == '/' || next == '*'))
        {
          *lex_state = next == '/' ? LEX_LINE_COMMENT : LEX_BLOCK_COMMENT;
          text[position] = ' ';
          text[++position] = ' ';
        }
      else if (*lex_state == LEX_LINE_COMMENT && text[position] == '\n')
        *lex_state = LEX_TEXT;
      else if (*lex_state == LEX_BLOCK_COMMENT && text[position] == '*'
               && next == '/')
        {
          *lex_state = LEX_TEXT;
          text[position] = ' ';
          text[++position] = ' ';
        }
      else if (*lex_state >= LEX_LINE_COMMENT && text[position] != '\n')
        text[position] = ' ';
    }
  return position;
}

void
cf_blank_comments (char *text, gsize length)
{
  LexState lex_state = LEX_TEXT;

  blank_comments (text, 0, length, &lex_state);
}

static gboolean
fail (const Reader *reader, GError **error, const char *problem)
{
  guint line = 1;
  gsize line_start = 0;

  for (gsize i = 0; i < reader->position && i < reader->length; i++)
    if (reader->text[i] == '\n')
      {
        line++;
        line_start = i + 1;
      }
  g_set_error (error, CF_ERROR, CF_ERROR_SYNTAX, "line %u, column %u: %s",
               line, (guint)(reader->position - line_start) + 1, problem);
  return FALSE;
}

/* Skips white space and returns the character after it.  */
static char
skip_space (Reader *reader)
{
  while (reader->position < reader->length
         && strchr (" \t\r\n", reader->text[reader->position]) != NULL
         && reader->text[reader->position] != '\0')
    reader->position++;
  return reader->text[reader->position];
}

static gboolean
expect_char (Reader *reader, char c, GError **error)
{
  char problem[] = "expected ' '";

  if (skip_space (reader) == c)
    {
      reader->position++;
      return TRUE;
    }
  problem[10] = c;
  return fail (reader, error, problem);
}

/* Reads one value, which the caller frees with json_object_put.  */
static gboolean
read_value (Reader *reader, struct json_object **value, GError **error)
{
  /* Includes the NUL.  A value is short; the limit keeps the length within
     int.  */
  gsize length = MIN (reader->length + 1 - reader->position, G_MAXINT);
  enum json_tokener_error code;

  json_tokener_reset (reader->tokener);
  *value = json_tokener_parse_ex (
      reader->tokener, reader->text + reader->position, (int)length);
  code = json_tokener_get_error (reader->tokener);
  reader->position += json_tokener_get_parse_end (reader->tokener);
  if (code == json_tokener_success)
    return TRUE;
  return fail (reader, error,
               code == json_tokener_continue ? "the document is truncated"
                                             : json_tokener_error_desc (code));
}

/* Reads what precedes a member of an object or an element of an array: a
   comma, or nothing before the first one.  Sets END if it reads CLOSING
   instead.  */
static gboolean
read_separator (Reader *reader, char closing, gboolean *end, GError **error)
{
  *end = skip_space (reader) == closing;
  if (*end)
    {
      reader->position++;
      return TRUE;
    }
  if (reader->is_first)
    {
      reader->is_first = FALSE;
      return TRUE;
    }
  return expect_char (reader, ',', error);
}

static gboolean
mark_seen (Reader *reader, uint32_t bit, const char *name, GError **error)
{
  if ((reader->seen_members >> bit) & 1)
    {
      g_set_error (error, CF_ERROR, CF_ERROR_DUPLICATE,
                   "%s: occurs twice in the document", name);
      return FALSE;
    }
  reader->seen_members |= UINT32_C (1) << bit;
  return TRUE;
}

/* Reads the value of a field of the document or of the envelope.  */
static gboolean
read_scalar (Reader *reader, const char *name, GError **error)
{
  const CfField *fields = cf_document_schema.fields;
  uint32_t count = cf_document_schema.field_count;
  uint32_t bit = SEEN_FIELDS;
  void *row = reader->job.config;

  if (!reader->in_document)
    {
      fields = envelope_fields;
      count = G_N_ELEMENTS (envelope_fields);
      bit = SEEN_ENVELOPE;
      row = &reader->envelope;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      struct json_object *value;
      gboolean ok;

      if (strcmp (fields[i].name, name) != 0)
        continue;
      if (!mark_seen (reader, bit + i, name, error)
          || !read_value (reader, &value, error))
        return FALSE;
      ok = cf_field_read (&fields[i], value, row, name, error);
      json_object_put (value);
      return ok;
    }
  g_set_error (error, CF_ERROR, CF_ERROR_FIELD,
               "%.64s: there is no such field", name);
  return FALSE;
}

/* Reads the value of a field, or the opening bracket of a section or of the
   document.  */
static gboolean
open_member (Reader *reader, const char *name, GError **error)
{
  uint32_t bit = SEEN_BLOCKS;

  if (!reader->in_document && strcmp (name, "document") == 0)
    {
      reader->in_document = TRUE;
      reader->is_first = TRUE;
      return mark_seen (reader, SEEN_DOCUMENT, name, error)
             && expect_char (reader, '{', error);
    }
  reader->section = cf_find_section (name, strlen (name));
  if (!reader->in_document
      || (reader->section == NULL && strcmp (name, "blocks") != 0))
    return read_scalar (reader, name, error);
  for (uint32_t i = 0; i < cf_section_count; i++)
    if (cf_sections[i] == reader->section)
      bit = i;
  reader->state = STATE_ROW;
  reader->is_first = TRUE;
  reader->row = 0;
  return mark_seen (reader, bit, name, error)
         && expect_char (reader, '[', error);
}

static gboolean
close_object (Reader *reader, GError **error)
{
  if (reader->in_document && reader->has_envelope)
    {
      reader->in_document = FALSE;
      reader->is_first = FALSE;
      return TRUE;
    }
  reader->state = STATE_SORT;
  if (skip_space (reader) != '\0' || reader->position != reader->length)
    return fail (reader, error, "text after the document");
  return TRUE;
}

static gboolean
read_member (Reader *reader, GError **error)
{
  struct json_object *name;
  gboolean end;
  gboolean ok;

  if (!read_separator (reader, '}', &end, error))
    return FALSE;
  if (end)
    return close_object (reader, error);
  if (skip_space (reader) != '"')
    return fail (reader, error, "expected the name of a field");
  if (!read_value (reader, &name, error))
    return FALSE;
  ok = expect_char (reader, ':', error);
  skip_space (reader);
  ok = ok && open_member (reader, json_object_get_string (name), error);
  json_object_put (name);
  return ok;
}

/* Reads a quoted string at *POSITION; returns FALSE if it has escapes.  */
static gboolean
scan_string (const char **position, const char **text, size_t *length)
{
  if (**position != '"')
    return FALSE;
  *text = *position + 1;
  *length = strcspn (*text, "\"\\\n");
  *position = *text + *length;
  return *(*position)++ == '"';
}

static gboolean
scan_literal (const char **position, const char *literal)
{
  if (strncmp (*position, literal, strlen (literal)) != 0)
    return FALSE;
  *position += strlen (literal);
  return TRUE;
}

/* Reads a block in the format that cf_to_json writes, and sets OK to whether
   it is valid; returns FALSE, with nothing read, if it is in another format.
   json-c takes about 3 us for a row, which makes half a second for 190,000
   rows.  */
static gboolean
read_block_fast (Reader *reader, gboolean *ok, GError **error)
{
  const char *position = reader->text + reader->position;
  const char *cidr;
  const char *region;
  size_t cidr_length;
  size_t region_length;

  if (!scan_literal (&position, "{\"cidr\":")
      || !scan_string (&position, &cidr, &cidr_length)
      || !scan_literal (&position, ",\"region\":")
      || !scan_string (&position, &region, &region_length)
      || !scan_literal (&position, "}"))
    return FALSE;
  reader->position = (gsize)(position - reader->text);
  *ok = cf_block_reader_add (&reader->block_reader, reader->job.config, cidr,
                             cidr_length, region, region_length, error);
  return TRUE;
}

static gboolean
read_block (Reader *reader, GError **error)
{
  struct json_object *value;
  struct json_object *cidr;
  struct json_object *region;
  gboolean ok;

  if (read_block_fast (reader, &ok, error))
    return ok;
  if (!read_value (reader, &value, error))
    return FALSE;
  ok = json_object_is_type (value, json_type_object)
       && json_object_object_length (value) == 2
       && json_object_object_get_ex (value, "cidr", &cidr)
       && json_object_object_get_ex (value, "region", &region)
       && json_object_is_type (cidr, json_type_string)
       && json_object_is_type (region, json_type_string);
  if (!ok)
    g_set_error_literal (error, CF_ERROR, CF_ERROR_FIELD,
                         "is not an object of the strings cidr and region");
  else
    ok = cf_block_reader_add (&reader->block_reader, reader->job.config,
                              json_object_get_string (cidr),
                              (size_t)json_object_get_string_len (cidr),
                              json_object_get_string (region),
                              (size_t)json_object_get_string_len (region),
                              error);
  json_object_put (value);
  return ok;
}

static gboolean
read_section_row (Reader *reader, GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("%s[%u]", reader->section->section, reader->row);
  GPtrArray *rows = cf_section_rows (reader->job.config, reader->section);
  struct json_object *value;
  gboolean ok;

  if (!read_value (reader, &value, error))
    return FALSE;
  g_ptr_array_add (rows, cf_row_new (reader->section));
  ok = cf_row_read (reader->section, value,
                    g_ptr_array_index (rows, rows->len - 1), path, error);
  json_object_put (value);
  return ok;
}

static gboolean
read_row (Reader *reader, GError **error)
{
  gboolean end;

  if (!read_separator (reader, ']', &end, error))
    return FALSE;
  if (end)
    {
      reader->state = STATE_MEMBER;
      reader->is_first = FALSE;
      return TRUE;
    }
  skip_space (reader);
  if (reader->section != NULL)
    {
      if (!read_section_row (reader, error))
        return FALSE;
    }
  else if (!read_block (reader, error))
    {
      if (error != NULL && (*error)->code != CF_ERROR_SYNTAX)
        g_prefix_error (error, "blocks[%u]: ", reader->row);
      return FALSE;
    }
  reader->row++;
  return TRUE;
}

/* Merges the sorted run of WIDTH rows at START with the next one.  */
static void
merge_runs (Reader *reader, guint start, guint width)
{
  GArray *blocks = reader->job.config->blocks;
  CfBlock *rows = &g_array_index (blocks, CfBlock, 0);
  guint middle = MIN (start + width, blocks->len);
  guint end = MIN (middle + width, blocks->len);
  guint left = start;
  guint right = middle;

  for (guint i = start; i < end; i++)
    if (right >= end
        || (left < middle
            && cf_block_compare (&rows[left], &rows[right]) <= 0))
      reader->merge_buffer[i] = rows[left++];
    else
      reader->merge_buffer[i] = rows[right++];
  memcpy (rows + start, reader->merge_buffer + start,
          (end - start) * sizeof *rows);
}

/* Sorts one run, or merges one pair of runs, of a merge sort.  Returns the
   number of rows to count for this step.  */
static uint32_t
sort_step (Reader *reader)
{
  GArray *blocks = reader->job.config->blocks;
  guint start = reader->sort_position;
  guint rows_sorted = MAX (2 * reader->sort_width, SORT_RUN_ROWS);

  if (!reader->block_reader.unordered || reader->sort_width >= blocks->len)
    {
      reader->state = STATE_FINISH;
      return 1;
    }
  if (reader->sort_width == 0)
    qsort (&g_array_index (blocks, CfBlock, start),
           MIN (SORT_RUN_ROWS, blocks->len - start), sizeof (CfBlock),
           cf_block_compare);
  else
    {
      if (reader->merge_buffer == NULL)
        reader->merge_buffer = g_new (CfBlock, blocks->len);
      merge_runs (reader, start, reader->sort_width);
    }
  reader->sort_position += rows_sorted;
  if (reader->sort_position >= blocks->len)
    {
      reader->sort_position = 0;
      reader->sort_width
          = reader->sort_width == 0 ? SORT_RUN_ROWS : 2 * reader->sort_width;
    }
  return rows_sorted;
}

static gboolean
apply_envelope (Reader *reader, GError **error)
{
  CfConfig *config = reader->job.config;
  /* The three fields of the envelope, and the document.  */
  const uint32_t needed
      = UINT32_C (7) << SEEN_ENVELOPE | UINT32_C (1) << SEEN_DOCUMENT;

  if ((reader->seen_members & needed) != needed
      || *reader->envelope.author == '\0')
    {
      g_set_error_literal (error, CF_ERROR, CF_ERROR_FIELD,
                           "op_id, author, base_version or document is "
                           "missing or empty");
      return FALSE;
    }
  g_free (config->op_id);
  g_free (config->author);
  config->op_id = g_strdup (reader->envelope.op_id);
  config->author = g_strdup (reader->envelope.author);
  config->version = reader->envelope.base_version + 1;
  return TRUE;
}

static gboolean
finish_read (Reader *reader, GError **error)
{
  CfConfig *config = reader->job.config;

  for (guint i = 0; i < config->customers->len; i++)
    {
      CfCustomer *customer = g_ptr_array_index (config->customers, i);

      if (customer->weight == 0)
        customer->weight = customer->rate_per_s;
    }
  return (!reader->has_envelope || apply_envelope (reader, error))
         && cf_block_reader_resolve (&reader->block_reader, config, error)
         && cf_check (config, error);
}

/* Copies the next bytes of the source or blanks comments in them.  */
static gboolean
prepare_text (Reader *reader, uint32_t rows_max, uint32_t *rows_used,
              GError **error)
{
  gsize end = MIN (reader->position + (gsize)rows_max * BYTES_PER_ROW,
                   reader->length);
  const char *source = g_bytes_get_data (reader->source, NULL);

  if (reader->state == STATE_COPY)
    {
      memcpy (reader->text + reader->position, source + reader->position,
              end - reader->position);
      reader->position = end;
    }
  else
    reader->position = blank_comments (reader->text, reader->position, end,
                                       &reader->lex_state);
  *rows_used = rows_max;
  if (reader->position < reader->length)
    return TRUE;
  reader->position = 0;
  reader->state++;
  if (reader->state == STATE_OPEN
      && memchr (reader->text, '\0', reader->length) != NULL)
    return fail (reader, error, "the document contains a NUL byte");
  return TRUE;
}

static CfJobStatus
read_step (CfJob *job, uint32_t rows_max, GError **error)
{
  Reader *reader = (Reader *)job;
  uint32_t rows_done = 0;

  while (rows_done < rows_max)
    {
      gboolean ok = TRUE;
      uint32_t rows_used = 1;

      /* The checks need the whole configuration and run in a step of their
         own.  */
      if (reader->state == STATE_FINISH && rows_done > 0)
        break;
      if (reader->state == STATE_FINISH)
        return finish_read (reader, error) ? CF_JOB_DONE : CF_JOB_FAILED;
      if (reader->state <= STATE_BLANK)
        ok = prepare_text (reader, rows_max - rows_done, &rows_used, error);
      else if (reader->state == STATE_OPEN)
        {
          ok = expect_char (reader, '{', error);
          reader->state = STATE_MEMBER;
          reader->is_first = TRUE;
        }
      else if (reader->state == STATE_MEMBER)
        ok = read_member (reader, error);
      else if (reader->state == STATE_ROW)
        {
          rows_used = reader->section != NULL ? CF_SECTION_ROW_COST : 1;
          ok = read_row (reader, error);
        }
      else
        rows_used = sort_step (reader);
      if (!ok)
        return CF_JOB_FAILED;
      rows_done += rows_used;
    }
  return CF_JOB_RUNNING;
}

static void
read_free (CfJob *job)
{
  Reader *reader = (Reader *)job;

  g_bytes_unref (reader->source);
  g_free (reader->text);
  g_free (reader->merge_buffer);
  g_free (reader->envelope.op_id);
  g_free (reader->envelope.author);
  json_tokener_free (reader->tokener);
  cf_block_reader_clear (&reader->block_reader);
}

CfJob *
cf_read_begin (GBytes *text)
{
  static const CfJobClass class = { read_step, read_free };
  Reader *reader = g_new0 (Reader, 1);

  reader->job.class = &class;
  reader->job.config = cf_new ();
  reader->in_document = TRUE;
  reader->source = g_bytes_ref (text);
  reader->length = g_bytes_get_size (text);
  reader->text = g_malloc (reader->length + 1);
  reader->text[reader->length] = '\0';
  reader->tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_tokener_set_flags (reader->tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8
                              | JSON_TOKENER_ALLOW_TRAILING_CHARS);
  cf_block_reader_init (&reader->block_reader);
  return &reader->job;
}

CfJob *
cf_read_change_begin (GBytes *text)
{
  CfJob *job = cf_read_begin (text);
  Reader *reader = (Reader *)job;

  reader->has_envelope = TRUE;
  reader->in_document = FALSE;
  reader->envelope.op_id = g_strdup ("");
  reader->envelope.author = g_strdup ("");
  return job;
}

CfConfig *
cf_from_json (const char *text, gsize length, GError **error)
{
  g_autoptr (GBytes) bytes = g_bytes_new_static (text, length);
  g_autoptr (CfJob) job = cf_read_begin (bytes);

  return cf_job_run (job, error) ? cf_job_take_config (job) : NULL;
}
