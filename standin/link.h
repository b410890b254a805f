/* link.h - one forwarded address of the fault proxy

   DESCRIPTION
     Used by proxy.c, which names the links and sets them.  */

#ifndef SI_LINK_H
#define SI_LINK_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>

typedef struct
{
  int64_t mbit_per_s;    /* 0: unlimited */
  int64_t free_at_us[2]; /* when the last byte of a direction has left */
} SiPipe;

typedef enum
{
  SI_UP,
  SI_DOWN,
} SiDirection;

typedef struct SiLink SiLink;

struct SiLink
{
  char *name;
  int64_t delay_us;
  int64_t cut_after_bytes[2]; /* -1: never */
  gboolean cut;
  gboolean hold;
  gboolean partition;
  SiPipe *pipe;          /* shared or own; not freed with the link */
  gboolean pipe_flipped; /* up is the second direction of the pipe */
  uint64_t accepted_count;
  uint64_t forwarded_bytes[2];
  GPtrArray *connections;
};

/* LISTEN and TO are ip:port.  */
SiLink *si_link_new (struct event_base *base, const char *name,
                     const char *listen, const char *to, GError **error);
void si_link_free (void *link);
/* To be called after cut, hold or partition was changed.  */
void si_link_update (SiLink *link);
void si_link_half_close (SiLink *link, SiDirection direction);

#endif
