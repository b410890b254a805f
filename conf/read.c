#include "conf/internal.h"

#include <string.h>

#define DEPTH_MAX 8
/* One unit of work blanks as many bytes as a row has.  */
#define BYTES_PER_ROW 256
#define SORT_RUN_ROWS 4096

typedef enum
{
  STATE_COPY,
  STATE_BLANK,
  STATE_OPEN,   /* before the brace of the document */
  STATE_MEMBER, /* before the name of a section or field */
  STATE_ROW,    /* before a row of a section */
  STATE_SORT,   /* blocks */
  STATE_FINISH,
} State;

typedef enum
{
  PLACE_TEXT,
  PLACE_STRING,
  PLACE_ESCAPE,
  PLACE_LINE_COMMENT,
  PLACE_BLOCK_COMMENT,
} Place;

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

/* "seen" has a bit for each section, for blocks and for each field.  */
#define SEEN_BLOCKS 16
#define SEEN_FIELDS 17
#define SEEN_ENVELOPE 24
#define SEEN_DOCUMENT 31

typedef struct
{
  CfJob job;
  gboolean enveloped; /* the document is a member of the text */
  gboolean inside;    /* the document */
  Envelope envelope;
  GBytes *source;
  char *text; /* without comments, with a NUL */
  gsize length;
  gsize at;
  Place place;
  State state;
  gboolean first;          /* no member or row of what is open was read */
  const CfSchema *section; /* NULL for blocks */
  guint row;
  uint32_t seen; /* bit for each member, to refuse a second one */
  struct json_tokener *tokener;
  CfBlockReader blocks;
  CfBlock *spare; /* second array for merging */
  guint sort_width;
  guint sort_at;
} Reader;

/* Blanks comments within [FROM, TO); looks one byte beyond, which the text's
   NUL allows.  Returns where to go on, at most one byte behind TO.  */
static gsize
blank (char *text, gsize from, gsize to, Place *place)
{
  gsize at = from;

  for (; at < to; at++)
    {
      char next = text[at + 1];

      if (*place == PLACE_TEXT && text[at] == '"')
        *place = PLACE_STRING;
      else if (*place == PLACE_STRING && text[at] == '"')
        *place = PLACE_TEXT;
      else if (*place == PLACE_STRING && text[at] == '\\')
        *place = PLACE_ESCAPE;
      else if (*place == PLACE_ESCAPE)
        *place = PLACE_STRING;
      else if (*place == PLACE_TEXT && text[at] == '/'
               && (next == '/' || next == '*'))
        {
          *place = next == '/' ? PLACE_LINE_COMMENT : PLACE_BLOCK_COMMENT;
          text[at] = ' ';
          text[++at] = ' ';
        }
      else if (*place == PLACE_LINE_COMMENT && text[at] == '\n')
        *place = PLACE_TEXT;
      else if (*place == PLACE_BLOCK_COMMENT && text[at] == '*' && next == '/')
        {
          *place = PLACE_TEXT;
          text[at] = ' ';
          text[++at] = ' ';
        }
      else if (*place >= PLACE_LINE_COMMENT && text[at] != '\n')
        text[at] = ' ';
    }
  return at;
}

void
cf_blank_comments (char *text, gsize length)
{
  Place place = PLACE_TEXT;

  blank (text, 0, length, &place);
}

static gboolean
fail (const Reader *reader, GError **error, const char *what)
{
  guint line = 1;
  gsize line_start = 0;

  for (gsize i = 0; i < reader->at && i < reader->length; i++)
    if (reader->text[i] == '\n')
      {
        line++;
        line_start = i + 1;
      }
  g_set_error (error, CF_ERROR, CF_ERROR_SYNTAX, "line %u, column %u: %s",
               line, (guint)(reader->at - line_start) + 1, what);
  return FALSE;
}

static char
peek (Reader *reader)
{
  while (reader->at < reader->length
         && strchr (" \t\r\n", reader->text[reader->at]) != NULL
         && reader->text[reader->at] != '\0')
    reader->at++;
  return reader->text[reader->at];
}

static gboolean
expect (Reader *reader, char c, GError **error)
{
  char what[] = "expected ' '";

  if (peek (reader) == c)
    {
      reader->at++;
      return TRUE;
    }
  what[10] = c;
  return fail (reader, error, what);
}

/* Reads one value; free it with json_object_put.  */
static gboolean
read_value (Reader *reader, struct json_object **value, GError **error)
{
  /* Rows are short; the cap keeps the length within int.  */
  gsize length = MIN (reader->length + 1 - reader->at, G_MAXINT);
  enum json_tokener_error code;

  json_tokener_reset (reader->tokener);
  *value = json_tokener_parse_ex (reader->tokener, reader->text + reader->at,
                                  (int)length);
  code = json_tokener_get_error (reader->tokener);
  reader->at += json_tokener_get_parse_end (reader->tokener);
  if (code == json_tokener_success)
    return TRUE;
  return fail (reader, error,
               code == json_tokener_continue ? "the document is cut off"
                                             : json_tokener_error_desc (code));
}

/* Between two members of an object or array; sets END behind the last.  */
static gboolean
read_separator (Reader *reader, char closing, gboolean *end, GError **error)
{
  *end = peek (reader) == closing;
  if (*end)
    {
      reader->at++;
      return TRUE;
    }
  if (reader->first)
    {
      reader->first = FALSE;
      return TRUE;
    }
  return expect (reader, ',', error);
}

static gboolean
mark_seen (Reader *reader, uint32_t bit, const char *name, GError **error)
{
  if ((reader->seen >> bit) & 1)
    {
      g_set_error (error, CF_ERROR, CF_ERROR_DUPLICATE,
                   "%s: stands twice in the document", name);
      return FALSE;
    }
  reader->seen |= UINT32_C (1) << bit;
  return TRUE;
}

static gboolean
read_scalar (Reader *reader, const char *name, GError **error)
{
  const CfField *fields = cf_document_schema.fields;
  uint32_t count = cf_document_schema.field_count;
  uint32_t bit = SEEN_FIELDS;
  void *row = reader->job.config;

  if (!reader->inside)
    {
      fields = envelope_fields;
      count = G_N_ELEMENTS (envelope_fields);
      bit = SEEN_ENVELOPE;
      row = &reader->envelope;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      struct json_object *value;
      gboolean done;

      if (strcmp (fields[i].name, name) != 0)
        continue;
      if (!mark_seen (reader, bit + i, name, error)
          || !read_value (reader, &value, error))
        return FALSE;
      done = cf_field_read (&fields[i], value, row, name, error);
      json_object_put (value);
      return done;
    }
  g_set_error (error, CF_ERROR, CF_ERROR_FIELD,
               "%.64s: there is no such field", name);
  return FALSE;
}

static gboolean
open_member (Reader *reader, const char *name, GError **error)
{
  uint32_t bit = SEEN_BLOCKS;

  if (!reader->inside && strcmp (name, "document") == 0)
    {
      reader->inside = TRUE;
      reader->first = TRUE;
      return mark_seen (reader, SEEN_DOCUMENT, name, error)
             && expect (reader, '{', error);
    }
  reader->section = cf_find_section (name, strlen (name));
  if (!reader->inside
      || (reader->section == NULL && strcmp (name, "blocks") != 0))
    return read_scalar (reader, name, error);
  for (uint32_t i = 0; i < cf_section_count; i++)
    if (cf_sections[i] == reader->section)
      bit = i;
  reader->state = STATE_ROW;
  reader->first = TRUE;
  reader->row = 0;
  return mark_seen (reader, bit, name, error) && expect (reader, '[', error);
}

static gboolean
close_object (Reader *reader, GError **error)
{
  if (reader->inside && reader->enveloped)
    {
      reader->inside = FALSE;
      reader->first = FALSE;
      return TRUE;
    }
  reader->state = STATE_SORT;
  if (peek (reader) != '\0' || reader->at != reader->length)
    return fail (reader, error, "text after the document");
  return TRUE;
}

static gboolean
read_member (Reader *reader, GError **error)
{
  struct json_object *name;
  gboolean end;
  gboolean done;

  if (!read_separator (reader, '}', &end, error))
    return FALSE;
  if (end)
    return close_object (reader, error);
  if (peek (reader) != '"')
    return fail (reader, error, "expected the name of a field");
  if (!read_value (reader, &name, error))
    return FALSE;
  done = expect (reader, ':', error);
  peek (reader);
  done = done && open_member (reader, json_object_get_string (name), error);
  json_object_put (name);
  return done;
}

/* Takes "TEXT" at *AT if it has no escapes.  */
static gboolean
take_string (const char **at, const char **text, size_t *length)
{
  if (**at != '"')
    return FALSE;
  *text = *at + 1;
  *length = strcspn (*text, "\"\\\n");
  *at = *text + *length;
  return *(*at)++ == '"';
}

static gboolean
take_literal (const char **at, const char *literal)
{
  if (strncmp (*at, literal, strlen (literal)) != 0)
    return FALSE;
  *at += strlen (literal);
  return TRUE;
}

/* The form that cf_to_json writes.  json-c takes about 3 us for a row, so
   190,000 rows would take half a second.  */
static gboolean
read_block_fast (Reader *reader, gboolean *done, GError **error)
{
  const char *at = reader->text + reader->at;
  const char *cidr;
  const char *region;
  size_t cidr_length;
  size_t region_length;

  if (!take_literal (&at, "{\"cidr\":")
      || !take_string (&at, &cidr, &cidr_length)
      || !take_literal (&at, ",\"region\":")
      || !take_string (&at, &region, &region_length)
      || !take_literal (&at, "}"))
    return FALSE;
  reader->at = (gsize)(at - reader->text);
  *done = cf_block_add (&reader->blocks, reader->job.config, cidr, cidr_length,
                        region, region_length, error);
  return TRUE;
}

static gboolean
read_block (Reader *reader, GError **error)
{
  struct json_object *value;
  struct json_object *cidr;
  struct json_object *region;
  gboolean done;

  if (read_block_fast (reader, &done, error))
    return done;
  if (!read_value (reader, &value, error))
    return FALSE;
  done = json_object_is_type (value, json_type_object)
         && json_object_object_length (value) == 2
         && json_object_object_get_ex (value, "cidr", &cidr)
         && json_object_object_get_ex (value, "region", &region)
         && json_object_is_type (cidr, json_type_string)
         && json_object_is_type (region, json_type_string);
  if (!done)
    g_set_error_literal (error, CF_ERROR, CF_ERROR_FIELD,
                         "is not an object of the strings cidr and region");
  else
    done = cf_block_add (&reader->blocks, reader->job.config,
                         json_object_get_string (cidr),
                         (size_t)json_object_get_string_len (cidr),
                         json_object_get_string (region),
                         (size_t)json_object_get_string_len (region), error);
  json_object_put (value);
  return done;
}

static gboolean
read_section_row (Reader *reader, GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("%s[%u]", reader->section->section, reader->row);
  GPtrArray *rows = cf_rows (reader->job.config, reader->section);
  struct json_object *value;
  gboolean done;

  if (!read_value (reader, &value, error))
    return FALSE;
  g_ptr_array_add (rows, cf_row_new (reader->section));
  done = cf_row_read (reader->section, value,
                      g_ptr_array_index (rows, rows->len - 1), path, error);
  json_object_put (value);
  return done;
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
      reader->first = FALSE;
      return TRUE;
    }
  peek (reader);
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

static void
merge_runs (Reader *reader, guint start, guint width)
{
  GArray *blocks = reader->job.config->blocks;
  CfBlock *from = &g_array_index (blocks, CfBlock, 0);
  guint middle = MIN (start + width, blocks->len);
  guint end = MIN (middle + width, blocks->len);
  guint left = start;
  guint right = middle;

  for (guint i = start; i < end; i++)
    if (right >= end
        || (left < middle
            && cf_block_compare (&from[left], &from[right]) <= 0))
      reader->spare[i] = from[left++];
    else
      reader->spare[i] = from[right++];
  memcpy (from + start, reader->spare + start, (end - start) * sizeof *from);
}

/* One run or one pair of runs of a merge sort; returns the rows handled.  */
static uint32_t
sort_some (Reader *reader)
{
  GArray *blocks = reader->job.config->blocks;
  guint start = reader->sort_at;
  guint span = MAX (2 * reader->sort_width, SORT_RUN_ROWS);

  if (!reader->blocks.unordered || reader->sort_width >= blocks->len)
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
      if (reader->spare == NULL)
        reader->spare = g_new (CfBlock, blocks->len);
      merge_runs (reader, start, reader->sort_width);
    }
  reader->sort_at += span;
  if (reader->sort_at >= blocks->len)
    {
      reader->sort_at = 0;
      reader->sort_width
          = reader->sort_width == 0 ? SORT_RUN_ROWS : 2 * reader->sort_width;
    }
  return span;
}

static gboolean
take_envelope (Reader *reader, GError **error)
{
  CfConfig *config = reader->job.config;
  const uint32_t needed
      = UINT32_C (7) << SEEN_ENVELOPE | UINT32_C (1) << SEEN_DOCUMENT;

  if ((reader->seen & needed) != needed || *reader->envelope.author == '\0')
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
finish (Reader *reader, GError **error)
{
  CfConfig *config = reader->job.config;

  for (guint i = 0; i < config->customers->len; i++)
    {
      CfCustomer *customer = g_ptr_array_index (config->customers, i);

      if (customer->weight == 0)
        customer->weight = customer->rate_per_s;
    }
  return (!reader->enveloped || take_envelope (reader, error))
         && cf_block_resolve (&reader->blocks, config, error)
         && cf_check (config, error);
}

static gboolean
prepare (Reader *reader, uint32_t rows_max, uint32_t *used, GError **error)
{
  gsize end
      = MIN (reader->at + (gsize)rows_max * BYTES_PER_ROW, reader->length);
  const char *source = g_bytes_get_data (reader->source, NULL);

  if (reader->state == STATE_COPY)
    {
      memcpy (reader->text + reader->at, source + reader->at,
              end - reader->at);
      reader->at = end;
    }
  else
    reader->at = blank (reader->text, reader->at, end, &reader->place);
  *used = rows_max;
  if (reader->at < reader->length)
    return TRUE;
  reader->at = 0;
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
  uint32_t done = 0;

  while (done < rows_max)
    {
      gboolean good = TRUE;
      uint32_t used = 1;

      /* The checks are one piece of work and get a step of their own.  */
      if (reader->state == STATE_FINISH && done > 0)
        break;
      if (reader->state == STATE_FINISH)
        return finish (reader, error) ? CF_JOB_DONE : CF_JOB_FAILED;
      if (reader->state <= STATE_BLANK)
        good = prepare (reader, rows_max - done, &used, error);
      else if (reader->state == STATE_OPEN)
        {
          good = expect (reader, '{', error);
          reader->state = STATE_MEMBER;
          reader->first = TRUE;
        }
      else if (reader->state == STATE_MEMBER)
        good = read_member (reader, error);
      else if (reader->state == STATE_ROW)
        {
          used = reader->section != NULL ? CF_SECTION_ROW_COST : 1;
          good = read_row (reader, error);
        }
      else
        used = sort_some (reader);
      if (!good)
        return CF_JOB_FAILED;
      done += used;
    }
  return CF_JOB_RUNNING;
}

static void
read_free (CfJob *job)
{
  Reader *reader = (Reader *)job;

  g_bytes_unref (reader->source);
  g_free (reader->text);
  g_free (reader->spare);
  g_free (reader->envelope.op_id);
  g_free (reader->envelope.author);
  json_tokener_free (reader->tokener);
  cf_block_reader_clear (&reader->blocks);
}

CfJob *
cf_read_begin (GBytes *text)
{
  static const CfJobClass class = { read_step, read_free };
  Reader *reader = g_new0 (Reader, 1);

  reader->job.class = &class;
  reader->job.config = cf_new ();
  reader->inside = TRUE;
  reader->source = g_bytes_ref (text);
  reader->length = g_bytes_get_size (text);
  reader->text = g_malloc (reader->length + 1);
  reader->text[reader->length] = '\0';
  reader->tokener = json_tokener_new_ex (DEPTH_MAX);
  json_tokener_set_flags (reader->tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8
                              | JSON_TOKENER_ALLOW_TRAILING_CHARS);
  cf_block_reader_init (&reader->blocks);
  return &reader->job;
}

CfJob *
cf_read_change_begin (GBytes *text)
{
  CfJob *job = cf_read_begin (text);
  Reader *reader = (Reader *)job;

  reader->enveloped = TRUE;
  reader->inside = FALSE;
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
