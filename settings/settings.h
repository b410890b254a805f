/* settings.h - the settings file of a daemon

   SYNOPSIS
     g_autoptr (GPtrArray) problems = NULL;
     SeSettings *settings = se_load ("vm1.json", &problems);
     se_free (settings);

   DESCRIPTION
     The file is JSON with comments.  The whole file is checked before any
     setting is used, and every problem is reported, not only the first.
     docs/man/comfreywalk-settings.5 describes the fields.

   ERRORS
     An SeProblem describes one error.  Its message begins with the name of
     the file, followed by the line or the path of the field.
     SE_ERROR_FILE      the file cannot be read or is too long
     SE_ERROR_SYNTAX    the text is not valid JSON
     SE_ERROR_UNKNOWN   the field is unknown
     SE_ERROR_MISSING   a required field is missing
     SE_ERROR_TYPE      a field has the wrong JSON type
     SE_ERROR_NAME      a name is not 1 to 63 bytes of [a-z0-9-]
     SE_ERROR_ADDRESS   an address is not an IP address and a port
     SE_ERROR_KEYWORD   a string is not one of the keywords allowed
     SE_ERROR_RANGE     a number or the length of an array is out of range
     SE_ERROR_CONFLICT  a field contradicts another or occurs twice  */

#ifndef SE_SETTINGS_H
#define SE_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#define SE_FILE_MAX_BYTES (1024 * 1024)
/* Default and upper limit of drain_max_ms.  */
#define SE_DRAIN_DEFAULT_MS 30000
#define SE_DRAIN_MAX_MS 600000

#define SE_MEMORY_DEFAULT_MIB 1024
#define SE_MEMORY_MIN_MIB 128
#define SE_CONNECTIONS_DEFAULT 4096
#define SE_CONNECTIONS_MAX 1000000
#define SE_PEERS_DEFAULT 1024
#define SE_PEERS_MIN 8

typedef enum
{
  SE_ERROR_FILE,
  SE_ERROR_SYNTAX,
  SE_ERROR_UNKNOWN,
  SE_ERROR_MISSING,
  SE_ERROR_TYPE,
  SE_ERROR_NAME,
  SE_ERROR_ADDRESS,
  SE_ERROR_KEYWORD,
  SE_ERROR_RANGE,
  SE_ERROR_CONFLICT,
} SeError;

typedef struct
{
  SeError code;
  char *message;
} SeProblem;

typedef struct
{
  char *ip; /* numeric, IPv6 without brackets */
  uint16_t port;
} SeAddress;

/* Address to connect to instead of the published one of a peer or target.  */
typedef struct
{
  char *name; /* of the VM or target */
  SeAddress address;
} SeAddressOverride;

/* How a daemon selects a target; steer/steer.h describes the policies.  */
typedef enum
{
  SE_POLICY_HEADROOM,
  SE_POLICY_NEAREST,
  SE_POLICY_RANDOM,
  SE_POLICY_LEAST_REPORTED,
} SePolicy;

typedef enum
{
  SE_ADMISSION_LEND,  /* daemons lend tokens to each other */
  SE_ADMISSION_SPLIT, /* fixed shares, no lending */
} SeAdmission;

typedef enum
{
  SE_LOG_ERROR,
  SE_LOG_WARNING,
  SE_LOG_INFO,
  SE_LOG_DEBUG,
} SeLogLevel;

typedef struct
{
  char *vm;
  char *zone;
  char *region;
  SeAddress http_listen;
  SeAddress peer_listen;
  SeAddress admin_listen;
  SeAddress store;
  GArray *peers;          /* SeAddress */
  GArray *peer_connect;   /* SeAddressOverride */
  GArray *target_connect; /* SeAddressOverride */
  SePolicy policy;
  SeAdmission admission;
  SeLogLevel log;
  gboolean trust_client_address; /* use the header X-Client-Address */
  uint32_t drain_max_ms;         /* longest drain before the daemon stops */
  uint32_t memory_mib;           /* that the daemon may use */
  uint32_t connections_max;      /* of callers */
  uint32_t per_address_max;      /* of these, from one address; 0: default */
  uint32_t peers_max;            /* connections that peers open */
} SeSettings;

/* Reads and checks the file at PATH.  On error returns NULL and sets PROBLEMS
   to an array of SeProblem.  Free the result with se_free and the problems
   with g_ptr_array_unref.  */
SeSettings *se_load (const char *path, GPtrArray **problems);

/* Like se_load for LENGTH bytes of TEXT.  Messages begin with FILE.  */
SeSettings *se_parse (const char *text, gsize length, const char *file,
                      GPtrArray **problems);

void se_free (SeSettings *settings);

/* Returns the address of NAME in OVERRIDES (peer_connect or target_connect),
   or NULL.  It belongs to OVERRIDES.  */
const SeAddress *se_find_override (const GArray *overrides, const char *name);

/* Parses "127.0.0.1:8001" or "[::1]:8001".  Returns FALSE and leaves ADDRESS
   unchanged if TEXT is neither.  Free ADDRESS->ip with g_free.  */
gboolean se_parse_address (const char *text, SeAddress *address);
/* The inverse of se_parse_address.  Free with g_free.  */
char *se_format_address (const SeAddress *address);

/* Return the keyword of the settings file.  The string is static.  */
const char *se_policy_name (SePolicy policy);
const char *se_admission_name (SeAdmission admission);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SeSettings, se_free)

#endif
