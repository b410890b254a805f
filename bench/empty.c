#include <event2/buffer.h>
#include <evhtp/evhtp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin/serve.h"

/* Size of the response body of a lookup that lists 7 VMs.  */
#define BODY_BYTES 480

static char body[BODY_BYTES];

static void
on_request (evhtp_request_t *request, void *data)
{
  (void)data;
  evbuffer_add_reference (request->buffer_out, body, sizeof body, NULL, NULL);
  evhtp_send_reply (request, EVHTP_RES_OK);
}

/* Sends the same response to every request with libevhtp, as a baseline for
   the lookup rate of a daemon.  */
int
main (int argc, char **argv)
{
  struct event_base *base;
  evhtp_t *http;
  g_autofree char *ip = NULL;
  uint16_t port;

  if (argc != 2 || !si_split_address (argv[1], &ip, &port))
    {
      fprintf (stderr, "usage: bench-empty IP:PORT\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  memset (body, 'x', sizeof body);
  base = event_base_new ();
  http = evhtp_new (base, NULL);
  evhtp_set_gencb (http, on_request, NULL);
  if (evhtp_bind_socket (http, ip, port, 1024) != 0)
    {
      fprintf (stderr, "bench-empty: cannot listen on %s\n", argv[1]);
      return 1;
    }
  si_run_loop (base);
  evhtp_unbind_socket (http);
  evhtp_free (http);
  event_base_free (base);
  return 0;
}
