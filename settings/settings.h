/* settings.h - the settings file of a daemon

   SYNOPSIS
     g_autoptr (GPtrArray) problems = NULL;
     SeSettings *settings = se_load ("vm1.json", &problems);
     se_free (settings);

   DESCRIPTION
     The file is JSON with comments.  The whole file is checked before
     anything is used, and every fault is reported, not only the first.
     docs/man/comfreywalk-settings.5 describes the fields.

   ERRORS
     A fault is an SeProblem; its message begins with the file, then the line
     or the path of the field.
     SE_ERROR_FILE      the file cannot be read or is too long
     SE_ERROR_SYNTAX    the text is not JSON
     SE_ERROR_UNKNOWN   there is no such field
     SE_ERROR_MISSING   a field without a default is not there
     SE_ERROR_TYPE      a field has the wrong JSON type
     SE_ERROR_NAME      a name is not 1 to 63 bytes of [a-z0-9-]
     SE_ERROR_ADDRESS   an address is not IP number and port
     SE_ERROR_WORD      a word is none of those allowed
     SE_ERROR_RANGE     a number is outside its range
     SE_ERROR_CONFLICT  two fields contradict each other  */

#ifndef SE_SETTINGS_H
#define SE_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#define SE_FILE_MAX_BYTES (1024 * 1024)
#define SE_DRAIN_DEFAULT_MS 30000
#define SE_DRAIN_MAX_MS 600000

typedef enum
{
  SE_ERROR_FILE,
  SE_ERROR_SYNTAX,
  SE_ERROR_UNKNOWN,
  SE_ERROR_MISSING,
  SE_ERROR_TYPE,
  SE_ERROR_NAME,
  SE_ERROR_ADDRESS,
  SE_ERROR_WORD,
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
  char *ip; /* IP number, without brackets */
  uint16_t port;
} SeAddress;

/* Another address under which a peer or a target is reached.  */
typedef struct
{
  char *name;
  SeAddress address;
} SeConnect;

typedef enum
{
  SE_POLICY_HEADROOM,
  SE_POLICY_NEAREST,
  SE_POLICY_RANDOM,
  SE_POLICY_LEAST_REPORTED,
} SePolicy;

typedef enum
{
  SE_ADMISSION_LEND,
  SE_ADMISSION_SPLIT,
} SeAdmission;

typedef enum
{
  SE_LOG_ERROR,
  SE_LOG_WARNING,
  SE_LOG_INFO,
  SE_LOG_DEBUG,
} SeLog;

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
  GArray *peer_connect;   /* SeConnect */
  GArray *target_connect; /* SeConnect */
  SePolicy policy;
  SeAdmission admission;
  SeLog log;
  gboolean trust_client_address;
  uint32_t drain_max_ms;
} SeSettings;

/* Reads and checks the file at PATH.  Returns NULL and sets PROBLEMS, an array
   of SeProblem, if anything is wrong.  Free the result with se_free and the
   problems with g_ptr_array_unref.  */
SeSettings *se_load (const char *path, GPtrArray **problems);

/* As se_load for a text; FILE is the name for messages.  */
SeSettings *se_parse (const char *text, gsize length, const char *file,
                      GPtrArray **problems);

void se_free (SeSettings *settings);

/* Address that stands in CONNECT (peer_connect, target_connect) for NAME, or
   NULL.  */
const SeAddress *se_find_connect (const GArray *connect, const char *name);

/* "127.0.0.1:8001" or "[::1]:8001".  FALSE if TEXT is none.  */
gboolean se_parse_address (const char *text, SeAddress *address);
char *se_format_address (const SeAddress *address);

const char *se_policy_name (SePolicy policy);
const char *se_admission_name (SeAdmission admission);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SeSettings, se_free)

#endif
