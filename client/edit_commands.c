/* Commands that change one entry of the configuration: key, customer, drain,
   shift.  */

#include "client/internal.h"
#include "sheet/sheet.h"

#include <inttypes.h>
#include <string.h>

#define OPTION_NUMBER_MAX 1000000000

/* The key to add, or to revoke by its SHA-256 or its id.  */
typedef struct
{
  uint8_t sha256[CF_SHA256_BYTES];
  gboolean has_sha256;            /* else the id names the key */
  char id[CF_NAME_MAX_BYTES + 1]; /* to revoke; set by add_key */
} KeyEdit;

gboolean
cl_read_key_sha256 (ClContext *context, const char *path, uint8_t *sha256)
{
  char text[CL_KEY_MAX_BYTES + 2];
  FILE *in = context->io.in;
  GChecksum *checksum;
  gsize size = CF_SHA256_BYTES;
  size_t length;

  if (path != NULL)
    in = fopen (path, "r");
  if (in == NULL)
    {
      cl_print_error (context, "cannot open the file of the key");
      return FALSE;
    }
  length = fread (text, 1, sizeof text, in);
  if (in != context->io.in)
    fclose (in);
  while (length > 0 && (text[length - 1] == '\n' || text[length - 1] == '\r'))
    length--;
  /* A key with a character that a header cannot have is rejected below as if
     it were empty.  */
  for (size_t i = 0; i < length; i++)
    if (text[i] <= ' ' || text[i] > '~')
      length = 0;
  if (length == 0 || length > CL_KEY_MAX_BYTES)
    {
      cl_print_error (context,
                      "the key is empty, longer than %d bytes, or has "
                      "characters that are not allowed in a header",
                      CL_KEY_MAX_BYTES);
      return FALSE;
    }
  checksum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (checksum, (const guchar *)text, (gssize)length);
  g_checksum_get_digest (checksum, sha256, &size);
  g_checksum_free (checksum);
  explicit_bzero (text, sizeof text);
  return TRUE;
}

static CfCustomer *
find_customer (ClContext *context, CfConfig *config)
{
  const char *name = context->arguments[0];
  const CfCustomer *customer = cf_find_customer (config, name);

  if (customer == NULL)
    cl_print_error (context, "there is no customer \"%s\"", name);
  return (CfCustomer *)customer;
}

static CfKey *
find_key (CfCustomer *customer, const KeyEdit *edit)
{
  for (guint i = 0; i < customer->keys->len; i++)
    {
      CfKey *key = g_ptr_array_index (customer->keys, i);

      if (edit->has_sha256
              ? memcmp (key->sha256, edit->sha256, CF_SHA256_BYTES) == 0
              : strcmp (key->id, edit->id) == 0)
        return key;
    }
  return NULL;
}

static gboolean
is_id_used (const CfCustomer *customer, const char *id)
{
  for (guint i = 0; i < customer->keys->len; i++)
    if (strcmp (((const CfKey *)g_ptr_array_index (customer->keys, i))->id, id)
        == 0)
      return TRUE;
  return FALSE;
}

static gboolean
add_key (ClContext *context, CfConfig *config, void *data)
{
  KeyEdit *edit = data;
  CfCustomer *customer = find_customer (context, config);
  g_autofree char *id = g_strdup (context->options.key_id);
  CfKey *key;

  if (customer == NULL)
    return FALSE;
  if (find_key (customer, edit) != NULL)
    {
      cl_print_error (context,
                      "the customer already has this key; a withdrawn "
                      "key cannot be issued again");
      return FALSE;
    }
  /* Without --id, the first free one of CUSTOMER-1, CUSTOMER-2 and so on.  The
     customer's name is cut to 50 bytes, so that the number fits.  */
  for (int i = 1;
       id == NULL
       || (context->options.key_id == NULL && is_id_used (customer, id));
       i++)
    {
      g_free (id);
      id = g_strdup_printf ("%.50s-%d", customer->name, i);
    }
  if (!cf_is_name (id) || is_id_used (customer, id))
    {
      cl_print_error (context, "the id \"%s\" is malformed or already used",
                      id);
      return FALSE;
    }
  key = cf_add_key (customer, id);
  memcpy (key->sha256, edit->sha256, CF_SHA256_BYTES);
  g_strlcpy (edit->id, id, sizeof edit->id);
  return TRUE;
}

int
cl_key_add (ClContext *context)
{
  KeyEdit edit = { .has_sha256 = TRUE };
  int exit_code;

  if (!cl_read_key_sha256 (context, context->options.key_file, edit.sha256))
    return CL_EXIT_REFUSED;
  exit_code = cl_update_config (context, add_key, &edit);
  if ((exit_code == CL_EXIT_DONE || exit_code == CL_EXIT_PARTIAL)
      && !context->options.json)
    cl_print (context,
              "key %s added; add its id to the sheet, or the next sheet "
              "is refused\n",
              edit.id);
  return exit_code;
}

static gboolean
revoke_key (ClContext *context, CfConfig *config, void *data)
{
  CfCustomer *customer = find_customer (context, config);
  CfKey *key = customer != NULL ? find_key (customer, data) : NULL;

  if (customer != NULL && key == NULL)
    cl_print_error (context, "the customer has no such key");
  if (key != NULL)
    key->withdrawn = TRUE;
  return key != NULL;
}

int
cl_key_revoke (ClContext *context)
{
  KeyEdit edit = { 0 };

  if (context->options.key_id != NULL)
    g_strlcpy (edit.id, context->options.key_id, sizeof edit.id);
  else if (cl_read_key_sha256 (context, context->options.key_file,
                               edit.sha256))
    edit.has_sha256 = TRUE;
  else
    return CL_EXIT_REFUSED;
  return cl_update_config (context, revoke_key, &edit);
}

static gboolean
check_range (ClContext *context, const char *name, gint64 value)
{
  if (value >= 1 && value <= OPTION_NUMBER_MAX)
    return TRUE;
  cl_print_error (context, "--%s must be between 1 and %d", name,
                  OPTION_NUMBER_MAX);
  return FALSE;
}

static gboolean
set_customer (ClContext *context, CfConfig *config, void *data)
{
  const ClOptions *options = &context->options;
  CfCustomer *customer = find_customer (context, config);
  /* A weight equal to the rate is the default and follows the rate.  */
  gboolean weight_follows_rate
      = customer != NULL && customer->weight == customer->rate_per_s;

  (void)data;
  if (customer == NULL)
    return FALSE;
  if (options->rate >= 0)
    customer->rate_per_s = (uint32_t)options->rate;
  if (options->burst >= 0)
    customer->burst = (uint32_t)options->burst;
  if (options->weight >= 0)
    customer->weight = (uint32_t)options->weight;
  else if (weight_follows_rate)
    customer->weight = customer->rate_per_s;
  return TRUE;
}

int
cl_customer_set (ClContext *context)
{
  const ClOptions *options = &context->options;

  if (options->rate < 0 && options->burst < 0 && options->weight < 0)
    {
      cl_print_error (context, "give --rate, --burst or --weight");
      return CL_EXIT_USAGE;
    }
  if ((options->rate >= 0 && !check_range (context, "rate", options->rate))
      || (options->burst >= 0
          && !check_range (context, "burst", options->burst))
      || (options->weight >= 0
          && !check_range (context, "weight", options->weight)))
    return CL_EXIT_USAGE;
  return cl_update_config (context, set_customer, NULL);
}

static gboolean
parse_time (ClContext *context, const char *text, int64_t *time_ms)
{
  ShError code;

  if (text != NULL && sh_parse_time (text, time_ms, &code))
    return TRUE;
  cl_print_error (context,
                  "\"%s\" is not a time with Z or an offset, such as "
                  "2026-12-04T22:00:00Z",
                  text != NULL ? text : "");
  return FALSE;
}

static gboolean
add_drain (ClContext *context, CfConfig *config, void *data)
{
  const CfDrain *drain = data;
  CfDrain *added
      = cf_add_drain (config, drain->name, drain->kind, drain->object);

  (void)context;
  added->start_ms = drain->start_ms;
  added->end_ms = drain->end_ms;
  return TRUE;
}

int
cl_drain_add (ClContext *context)
{
  /* In the order of CfDrainKind.  */
  static const char *const kinds[]
      = { "target", "vm", "zone", "region", NULL };
  char **arguments = context->arguments;
  CfDrain drain = { .name = arguments[0], .object = arguments[2] };
  int kind = 0;

  while (kinds[kind] != NULL && strcmp (kinds[kind], arguments[1]) != 0)
    kind++;
  drain.kind = (CfDrainKind)kind;
  if (kinds[kind] == NULL || !cf_is_name (drain.name)
      || !cf_is_name (drain.object))
    {
      cl_print_error (context, "a drain is NAME target|vm|zone|region OBJECT "
                               "START END, with names of [a-z0-9-]");
      return CL_EXIT_USAGE;
    }
  if (!parse_time (context, arguments[3], &drain.start_ms)
      || !parse_time (context, arguments[4], &drain.end_ms))
    return CL_EXIT_USAGE;
  return cl_update_config (context, add_drain, &drain);
}

static gboolean
cancel_drain (ClContext *context, CfConfig *config, void *data)
{
  (void)data;
  if (cf_remove_drain (config, context->arguments[0]))
    return TRUE;
  cl_print_error (context, "there is no drain \"%s\"", context->arguments[0]);
  return FALSE;
}

int
cl_drain_cancel (ClContext *context)
{
  return cl_update_config (context, cancel_drain, NULL);
}

static gboolean
add_shift (ClContext *context, CfConfig *config, void *data)
{
  const CfShift *shift = data;
  CfShift *added = cf_add_shift (config, shift->name, shift->service,
                                 shift->from, shift->to);

  (void)context;
  added->start_ms = shift->start_ms;
  added->end_ms = shift->end_ms;
  added->ramp_ms = shift->ramp_ms;
  added->share_permille = shift->share_permille;
  added->cap_per_s = shift->cap_per_s;
  return TRUE;
}

/* Sets VALUE to the number TEXT times SCALE, which must be 0 to MAX: "12.5"
   with SCALE 10 is 125.  */
static gboolean
parse_scaled (ClContext *context, const char *name, const char *text,
              double scale, double max, double *value)
{
  char *end = NULL;

  *value = text != NULL ? g_ascii_strtod (text, &end) * scale : 0;
  if (text != NULL && end != text && *end == '\0' && *value >= 0
      && *value <= max)
    return TRUE;
  cl_print_error (context, "--%s is missing, not a number or out of range",
                  name);
  return FALSE;
}

int
cl_shift_add (ClContext *context)
{
  const ClOptions *options = &context->options;
  CfShift shift = { .name = context->arguments[0],
                    .service = options->service,
                    .from = options->from,
                    .to = options->to };
  double share;
  double ramp = 0;

  if (shift.service == NULL || shift.from == NULL || shift.to == NULL
      || !cf_is_name (shift.name))
    {
      cl_print_error (context, "a shift needs a name of [a-z0-9-], --service, "
                               "--from and --to");
      return CL_EXIT_USAGE;
    }
  if (!parse_time (context, options->start, &shift.start_ms)
      || !parse_time (context, options->end, &shift.end_ms)
      || !parse_scaled (context, "share", options->share_percent, 10, 1000,
                        &share)
      || !check_range (context, "cap", options->cap)
      || (options->ramp_s != NULL
          && !parse_scaled (context, "ramp", options->ramp_s, 1000, 1e12,
                            &ramp)))
    return CL_EXIT_USAGE;
  shift.share_permille = (uint32_t)(share + 0.5);
  shift.ramp_ms = (int64_t)ramp;
  shift.cap_per_s = (uint32_t)options->cap;
  return cl_update_config (context, add_shift, &shift);
}

static gboolean
cancel_shift (ClContext *context, CfConfig *config, void *data)
{
  (void)data;
  if (cf_remove_shift (config, context->arguments[0]))
    return TRUE;
  cl_print_error (context, "there is no shift \"%s\"", context->arguments[0]);
  return FALSE;
}

int
cl_shift_cancel (ClContext *context)
{
  return cl_update_config (context, cancel_shift, NULL);
}
