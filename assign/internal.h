/* internal.h - shared by the sources of the assign package  */

#ifndef AS_INTERNAL_H
#define AS_INTERNAL_H

#include "assign/assign.h"

AsMember *as_member_new (const char *vm, const char *zone);
AsSlot *as_slot_new (const char *target, uint32_t base, uint32_t flex);
void as_add_withheld (AsDoc *doc, const char *target, uint32_t base,
                      uint32_t flex, int64_t until_ms);
/* Rendezvous hash of VM for OBJECT.  */
uint64_t as_hash (const char *vm, const char *object);

#endif
