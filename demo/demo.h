/* demo.h - demonstration program

   DESCRIPTION
     demo.c starts a deployment, runs load and faults and checks the result,
     sheet.c prepares the example sheet, timeline.c prints the events that the
     daemons recorded.  */

#ifndef DE_DEMO_H
#define DE_DEMO_H

#include <glib.h>

#include "standin/harness.h"
#include "standin/verify.h"

typedef struct
{
  char *name;
  char *key;
  uint32_t rate_per_s;
  uint32_t burst;
} DeCustomer;

/* Copies the example sheet at FROM_PATH to TO_PATH with today's date and with
   the digests of known keys, since a sheet doesn't hold the keys themselves.
   Returns the customers (DeCustomer), or NULL with ERROR set.  */
GPtrArray *de_prepare_sheet (const char *from_path, const char *to_path,
                             GError **error);

/* Prints selected events of the running daemons since FROM_MS, by time.  */
void de_print_timeline (const SiHarness *harness, int64_t from_ms);

#endif
