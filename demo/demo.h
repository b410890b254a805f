/* demo.h - parts of the demonstration

   DESCRIPTION
     demo.c runs the story, sheet.c prepares the example sheet, timeline.c
     prints what the daemons recorded.  */

#ifndef DE_DEMO_H
#define DE_DEMO_H

#include <glib.h>

#include "standin/harness.h"
#include "standin/verify.h"

typedef struct
{
  char *customer;
  char *key;
  uint32_t rate_per_s;
  uint32_t burst;
} DeCustomer;

/* Writes the example sheet at FROM to TO with the date of today, and with keys
   that the demonstration knows, since a sheet holds digests only.  Returns
   the customers (DeCustomer), or NULL.  */
GPtrArray *de_prepare_sheet (const char *from, const char *to, GError **error);

/* Prints events of the running daemons since FROM_MS, oldest first.  */
void de_print_timeline (const SiHarness *harness, int64_t from_ms);

#endif
