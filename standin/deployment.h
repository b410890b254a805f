/* deployment.h - names, zones, addresses and links of a planned deployment

   DESCRIPTION
     Private to standin; used by harness.c.  All ports are assigned before any
     process starts, because each settings file names the addresses of the
     other processes.  */

#ifndef SI_DEPLOYMENT_H
#define SI_DEPLOYMENT_H

#include "standin/harness.h"

typedef struct
{
  char *name;
  char *from_zone;
  char *to_zone;
  char *listen_address; /* ip:port */
  char *dest_address;   /* ip:port */
  char *query;          /* settings of the link, see proxy.h */
} SiPlannedLink;

typedef struct
{
  GPtrArray *vms;     /* SiVm */
  GPtrArray *targets; /* SiTarget */
  GPtrArray *links;   /* SiPlannedLink; empty unless proxied */
  char *store_zone;
  uint32_t region_mbit_per_s; /* of the links between two regions */
  uint32_t region_delay_us;   /* one way */
  char *store_address;        /* of the stand-in platform */
  char *platform_control;
  char *target_control;
  char *proxy_control;
} SiDeployment;

/* Fails with SI_ERROR_OPTION for an unknown deployment.  */
SiDeployment *si_deployment_new (const SiHarnessOptions *options,
                                 GError **error);
void si_deployment_free (SiDeployment *deployment);

/* Address at which FROM reaches TO for KIND (peer, target, store, client):
   that of the link, or DIRECT if there is no link.  */
const char *si_deployment_address (const SiDeployment *deployment,
                                   const char *kind, const char *from,
                                   const char *to, const char *direct);
/* The settings file of VM as JSON.  Free with g_free.  */
char *si_deployment_settings (const SiDeployment *deployment, const SiVm *vm,
                              const SiHarnessOptions *options);

#endif
