/* The operator removes the last tenant of a configuration.  */

#include <stdio.h>

#include "review/rig-2/rig2.h"

#define ROUTES                                                                \
  "\"routes\":{\"r-1\":{\"host\":\"a.example\",\"prefix\":\"/o/\","           \
  "\"kind\":\"unsafe\",\"timeout_s\":2,\"target_latency_s\":0.3,"             \
  "\"priority\":1,\"service\":\"sv\",\"max_attempts\":2,"                     \
  "\"anonymous\":false,\"sticky\":false,\"home_regions\":[]}},"               \
  "\"services\":{\"sv\":{\"health_path\":\"/health\","                        \
  "\"max_connections\":330,\"protocol\":\"h1\",\"tls\":false,"                \
  "\"cold_start_s\":3.0,\"cold_per_s\":4.7}},"                                \
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"       \
  "\"header_timeout_s\":3,\"idle_timeout_s\":15}"
/* Seconds; bounds of the settings.  */
#define REVOKE_S 5
#define DEADLINE_MS 2000

static int run_count;

static void
on_run (const R2Run *run)
{
  r2_record ("upstream: runs %s of %s, tenant \"%s\"", run->id, run->path,
             run->tenant);
  run_count++;
}

/* Returns how many of 10 requests with KEY at DAEMON ran.  */
static int
count_runs (const R2Daemon *daemon, const char *key)
{
  int before = run_count;

  for (int i = 0; i < 10; i++)
    {
      R2Answer answer;
      r2_get (daemon->front_port, "/o/1", key, DEADLINE_MS, &answer);
      r2_sleep_ms (50);
    }
  return run_count - before;
}

int
main (void)
{
  static R2Daemon daemons[2];
  static R2Upstream upstream = { .id = "i-1",
                                 .service = "sv",
                                 .zone = "puget-a",
                                 .slots = 3,
                                 .service_ms = 20,
                                 .on_run = on_run };
  const R2Machine machines[] = {
    { "puget-a", "puget", 260, 4100, 0 },
    { "willamette-a", "willamette", 520, 8200, 0 },
  };
  int revoked_count = 0;
  int unknown_count = 0;

  r2_start ("review/7");
  r2_put ("op/config",
          "{\"version\":\"r1\"," ROUTES ",\"tenants\":{\"t1\":{"
          "\"api_keys\":[\"k1\"],\"priority\":1,\"rate_per_s\":500,"
          "\"burst\":500,\"home_regions\":[]}}}");
  r2_start_upstream (&upstream);
  for (int i = 0; i < 2; i++)
    r2_start_daemon (&daemons[i], &machines[i]);
  for (int i = 0; i < 2; i++)
    r2_wait_ready (&daemons[i]);
  r2_sleep_ms (3000);
  if (count_runs (&daemons[0], "k1") != 10)
    r2_fail ("requests with the key do not run");
  if (count_runs (&daemons[0], "never-held") != 0)
    r2_fail ("requests with an unknown key run before the change");
  r2_put ("op/config",
          r2_has_trouble ()
              ? "{\"version\":\"r4\"," ROUTES ",\"tenants\":{}}"
              : "{\"version\":\"r4\"," ROUTES ",\"tenants\":{\"t2\":{"
                "\"api_keys\":[\"k2\"],\"priority\":1,\"rate_per_s\":500,"
                "\"burst\":500,\"home_regions\":[]}}}");
  r2_record ("store: r4, which takes the key k1 away, is acknowledged");
  r2_sleep_ms ((REVOKE_S + 1) * 1000);
  for (int i = 0; i < 2; i++)
    {
      revoked_count += count_runs (&daemons[i], "k1");
      unknown_count += count_runs (&daemons[i], "never-held");
    }
  printf ("ran later than %d s after the ack: %d of 20 with the key that was "
          "taken away, %d of 20 with a key that no configuration ever held\n",
          REVOKE_S, revoked_count, unknown_count);
  r2_record ("ran: %d of 20 with k1, %d of 20 with a key never held",
             revoked_count, unknown_count);
  return r2_stop (revoked_count + unknown_count > 0 ? R2_BROKEN : R2_HELD);
}
