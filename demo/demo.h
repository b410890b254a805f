/* demo.h - demonstration program

   DESCRIPTION
     demo.c starts a deployment on loopback, sends load while it drains a
     target and kills a daemon, and checks the result.  sheet.c prepares the
     example sheet.  timeline.c prints the events that the daemons recorded.

   ERRORS
     Functions that can fail set a GError in the domain SI_ERROR, or in
     G_FILE_ERROR for the files of the sheet.  */

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

/* Copies the example sheet at FROM_PATH to TO_PATH with today's date.  A sheet
   holds only digests of keys, so each is replaced by the digest of a new key
   that the demo can send.  Returns the customers (DeCustomer), each with its
   first key, or NULL with ERROR set.  Free with g_ptr_array_unref.  */
GPtrArray *de_prepare_sheet (const char *from_path, const char *to_path,
                             GError **error);

/* Prints selected events of the running daemons, in order of time.  FROM_MS is
   the wall time of the earliest event to print, and the zero of the printed
   times.  */
void de_print_timeline (const SiHarness *harness, int64_t from_ms);

#endif
