#include "release/release.h"

const char *
rl_version (void)
{
  return RL_VERSION;
}

const char *
rl_sources_id (void)
{
  return RL_SOURCES_ID;
}

const char *
rl_build (void)
{
  return RL_BUILD;
}

void
rl_print_version (const char *program, FILE *file)
{
  fprintf (file, "%s %s sources=%s build=%s\n", program, RL_VERSION,
           RL_SOURCES_ID, RL_BUILD);
}

void
rl_register_metric (MtRegistry *metrics)
{
  static const char name[]
      = "build_info{version=\"" RL_VERSION "\",sources=\"" RL_SOURCES_ID
        "\",build=\"" RL_BUILD "\"}";

  mt_set (mt_gauge (metrics, name, "The build of this daemon; always 1"), 1);
}
