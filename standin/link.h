/* link.h - one emulated network link of the fault proxy

   DESCRIPTION
     A link listens on one address and forwards each TCP connection to another
     address with a delay, a limited rate and faults.  proxy.c creates the
     links and writes their public members.  It must set `pipe` before the
     event loop runs.  */

#ifndef SI_LINK_H
#define SI_LINK_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>

/* Bandwidth that one or more links share.  */
typedef struct
{
  int64_t mbit_per_s;    /* in each direction; 0: unlimited */
  int64_t free_at_us[2]; /* end of the last transmission that was scheduled, by
                            direction */
} SiPipe;

typedef enum
{
  SI_UP,   /* caller to destination */
  SI_DOWN, /* destination to caller */
} SiDirection;

typedef struct SiLink SiLink;

struct SiLink
{
  char *name;
  int64_t delay_us;
  int64_t cut_after_bytes[2]; /* -1: never */
  gboolean cut;               /* close connections, new ones at once */
  gboolean hold;              /* keep connections, forward nothing */
  gboolean partition;     /* as hold; new connections are closed at its end */
  SiPipe *pipe;           /* shared or its own; not freed with the link */
  gboolean pipe_reversed; /* SI_UP uses the SI_DOWN direction of the pipe */
  uint64_t accepted_count;
  uint64_t forwarded_bytes[2];
  GPtrArray *connections;
};

/* Forwards from LISTEN to DESTINATION, both ip:port.  Returns NULL with
   SI_ERROR_SPAWN if an address is invalid or cannot be bound.  */
SiLink *si_link_new (struct event_base *base, const char *name,
                     const char *listen, const char *destination,
                     GError **error);
void si_link_free (void *link);
/* Applies changes of `cut`, `hold` and `partition` to open connections.  */
void si_link_update (SiLink *link);
/* Sends the end of the stream in DIRECTION on all open connections.  */
void si_link_half_close (SiLink *link, SiDirection direction);

#endif
