/* days.h - days of trouble that pair the kinds of a deployment

   SYNOPSIS
     GPtrArray *troubles = dy_read_troubles (site_text);
     g_autofree char *day = dy_format_pair (troubles, first, second, seed);

   DESCRIPTION
     A deployment's file lists its troubles, one a line within "troubles = ["
   and
     "]", each as "{ kind = "burst", x = 1.7, for_s = 3.0 }".  A day of a pair
   has the first trouble and, while it lasts, the second; later the second and,
     while that lasts, the first, so that each comes in the wake of the other
     and both come twice.  The times are drawn from the seed; the doses are
     those of the list.  Planned work and faults go to the lists that the
     platform's days have for them.

   ERRORS
     dy_read_troubles returns an empty list where the text has none.  */

#ifndef DY_DAYS_H
#define DY_DAYS_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  char *kind;
  char *fields; /* all of the line within its braces */
  double for_s; /* how long it lasts, or a usual time where it does not say */
  gboolean is_planned;
} DyTrouble;

/* Returns DyTrouble; free with g_ptr_array_unref.  */
GPtrArray *dy_read_troubles (const char *site_text);

/* Returns the text of a day file; free with g_free.  */
char *dy_format_pair (const GPtrArray *troubles, guint first, guint second,
                      uint32_t seed);

#endif
