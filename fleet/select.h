/* select.h - which entry VMs of a zone a lookup returns

   SYNOPSIS
     FlVm vms[] = { { .address = "10.0.0.1:80", .link_mbps = 200 },
                    { .address = "10.0.0.2:80", .link_mbps = 10 } };
     count = fl_select_vms (vms, G_N_ELEMENTS (vms));

   DESCRIPTION
     Callers choose at random among the addresses that a lookup returns, so
     each of them gets the same share.  Where the VMs of a zone differ, the
     small ones would get more than they can carry: a large response occupies
     a slow link for tens of milliseconds, and messages between daemons wait
     behind it.  fl_select_vms leaves out the smallest VMs as long as the
   others have FL_SELECT_PERCENT of the zone's capacity, and are
   FL_SELECT_COUNT_MIN or more.  VMs of the same size are all selected or all
   left out.

     The capacity of a VM is the lower of its link and its processor, each
     relative to the largest of the zone.  A VM that reports neither counts as
   one of the largest.  The result does not depend on the order of the VMs.

   ERRORS
     None.  */

#ifndef FL_SELECT_H
#define FL_SELECT_H

#include <glib.h>
#include <stdint.h>

/* Share of the capacity of a zone that the selected VMs have.  */
#define FL_SELECT_PERCENT 75
/* One VM may be lost before the lookups show it.  */
#define FL_SELECT_COUNT_MIN 2

typedef struct
{
  const char *address;
  uint32_t link_mbps;    /* 0: unknown */
  uint32_t cpu_permille; /* of one core; 0: unknown */
  double capacity;       /* set by fl_select_vms, 0 to 1 */
} FlVm;

/* Sorts VMS by capacity, largest first, and returns how many are selected.  */
uint32_t fl_select_vms (FlVm *vms, uint32_t count);

#endif
