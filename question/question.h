/* question.h - a request that an operator describes, from a query string

   SYNOPSIS
     g_autoptr (QsQuestion) question = qs_parse ("host=h&path=/p", &error);
     if (question != NULL)
       explain (question->host, question->path);

   DESCRIPTION
     Parses the questions of `comfreywalk where`.  The parameters are
       host, path   of the request; required.  PATH may have a query string
       method       default GET
       key_sha256   SHA-256 of the customer's key, in hexadecimal.  The key
                    itself is not accepted, so that it cannot get into a log
       object       value of the object cookie
       deadline_ms  time that the caller allows
       id           request id; default QS_DEFAULT_ID
     Each is checked to be what a request head may contain.

   ERRORS
     QS_ERROR_SYNTAX     the query string is malformed
     QS_ERROR_PARAMETER  a parameter is missing, unknown or invalid
     No message contains a value, which may be a key.  */

#ifndef QS_QUESTION_H
#define QS_QUESTION_H

#include <glib.h>
#include <stdint.h>

/* Of a value.  */
#define QS_VALUE_MAX_BYTES 4096
#define QS_DEFAULT_ID "where"
#define QS_DIGEST_BYTES 32

#define QS_ERROR (qs_error_quark ())

typedef enum
{
  QS_ERROR_SYNTAX,
  QS_ERROR_PARAMETER,
} QsError;

typedef struct
{
  const char *host;
  const char *path;  /* without the query string */
  const char *query; /* of the path, after the question mark; may be NULL */
  const char *method;
  const char *object;      /* may be NULL */
  const char *deadline_ms; /* a number, or NULL */
  const char *id;
  gboolean has_key;
  uint8_t key_sha256[QS_DIGEST_BYTES]; /* if has_key */
  GHashTable *fields;                  /* owns the values */
  char **path_parts;                   /* owns path and query */
} QsQuestion;

GQuark qs_error_quark (void);

/* TEXT may be NULL.  */
QsQuestion *qs_parse (const char *text, GError **error);
void qs_question_free (QsQuestion *question);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (QsQuestion, qs_question_free)

#endif
