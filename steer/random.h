/* random.h - pseudo-random numbers from a seed that the caller supplies

   DESCRIPTION
     The SplitMix64 generator with 64 bits of state, for use within steer
     only.  */

#ifndef SR_RANDOM_H
#define SR_RANDOM_H

#include <stdint.h>

static inline uint64_t
sr_random_u64 (uint64_t *state)
{
  uint64_t z = (*state += 0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

/* Uniform from 0 to BELOW - 1; BELOW is at least 1.  */
static inline uint32_t
sr_random_below (uint64_t *state, uint32_t below)
{
  return (uint32_t)((sr_random_u64 (state) >> 32) * below >> 32);
}

#endif
