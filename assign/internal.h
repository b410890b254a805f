/* internal.h - shared by the sources of the assign package  */

#ifndef AS_INTERNAL_H
#define AS_INTERNAL_H

#include "assign/assign.h"

AsMember *as_member_new (const char *vm, const char *zone);
AsSlot *as_slot_new (const char *target, uint32_t base, uint32_t flex);
/* Does nothing if BASE and FLEX are 0.  */
void as_add_withheld (AsDoc *doc, const char *target, uint32_t base,
                      uint32_t flex, int64_t until_ms);
/* Returns the rendezvous hash of VM for KEY, the name of a target or of
   another VM.  The VM with the highest hash comes first.  */
uint64_t as_rendezvous_hash (const char *vm, const char *key);

#endif
