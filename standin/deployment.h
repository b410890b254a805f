/* deployment.h - names, zones, addresses and links of a planned deployment

   DESCRIPTION
     Used by harness.c.  Everything is planned before anything is started, so
     that each settings file can name the addresses of all others.  */

#ifndef SI_DEPLOYMENT_H
#define SI_DEPLOYMENT_H

#include "standin/harness.h"

typedef struct
{
  char *name;
  char *from_zone;
  char *to_zone;
  char *listen; /* ip:port */
  char *to;     /* ip:port */
  char *setting;
} SiPlannedLink;

typedef struct
{
  GPtrArray *vms;     /* SiVm */
  GPtrArray *targets; /* SiTarget */
  GPtrArray *links;   /* SiPlannedLink; empty unless proxied */
  char *store_zone;
  uint32_t region_mbit;
  uint32_t region_delay_us;
  char *platform_address; /* of the store */
  char *platform_control;
  char *target_control;
  char *proxy_control;
} SiDeployment;

SiDeployment *si_deployment_new (const SiOptions *options, GError **error);
void si_deployment_free (SiDeployment *deployment);

/* Address at which FROM reaches TO for KIND (peer, target, store, client):
   that of the link, or DIRECT where there is none.  */
const char *si_deployment_route (const SiDeployment *deployment,
                                 const char *kind, const char *from,
                                 const char *to, const char *direct);
/* The settings file of VM as JSON.  */
char *si_deployment_settings (const SiDeployment *deployment, const SiVm *vm,
                              const SiOptions *options);

#endif
