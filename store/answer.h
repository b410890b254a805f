/* answer.h - decodes answers of Consul's HTTP API

   DESCRIPTION
     Private to the package.  Each function returns FALSE or NULL for text
     that is not what the API documents, and then leaves its results
     untouched.  */

#ifndef ST_ANSWER_H
#define ST_ANSWER_H

#include "store/store.h"

/* One key as answered by GET /v1/kv/KEY.  *VALUE is to be freed.  */
gboolean st_parse_key (const char *text, gsize length_bytes, char **value,
                       gsize *value_bytes, uint64_t *index);

/* The list as answered by GET /v1/catalog/service/NAME.  */
GPtrArray *st_parse_list (const char *text, gsize length_bytes);

/* The answer to a write: true or false.  */
gboolean st_parse_bool (const char *text, gsize length_bytes, gboolean *value);

#endif
