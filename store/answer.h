/* answer.h - decodes responses of Consul's HTTP API

   DESCRIPTION
     Private to this folder.  Each function returns FALSE or NULL for text
     that does not match the documented API, and then leaves the variables for
     its results unchanged.  */

#ifndef ST_ANSWER_H
#define ST_ANSWER_H

#include "store/store.h"

/* Decodes the response to GET /v1/kv/KEY.  The caller frees *VALUE.  */
gboolean st_parse_key (const char *text, gsize length_bytes, char **value,
                       gsize *value_bytes, uint64_t *index);

/* Decodes the response to GET /v1/catalog/service/NAME.  Returns a new array
   of StVm, which frees them.  */
GPtrArray *st_parse_vms (const char *text, gsize length_bytes);

/* Decodes the response to a write: true or false.  */
gboolean st_parse_bool (const char *text, gsize length_bytes, gboolean *value);

#endif
