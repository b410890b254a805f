/* Compares placement algorithms over the same seeded series of changes of the
   targets of one region, and measures the processor time of place/place.h.

   Usage: place-compare [SERIES_COUNT [OBJECTS_PER_TARGET]]

   Prints for each algorithm: moves relative to the least possible number; the
   largest load of a target relative to its size, mean and maximum over the
   states; and the fraction of objects that a daemon which starts in the last
   state places on other targets.  */

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include <xxhash.h>

extern "C"
{
#include "place/place.h"
}

namespace
{

constexpr int kSteps = 8;
constexpr double kBound = 1.1;

struct Target
{
  uint64_t id;
  uint32_t size;
};
using Targets = std::vector<Target>;  /* ordered by ID */
using Places = std::vector<uint64_t>; /* ID for each object */

uint64_t
Hash (uint64_t value, uint64_t seed)
{
  return XXH3_64bits_withSeed (&value, sizeof value, seed);
}

double
DrawTime (uint64_t object, const Target &target)
{
  double uniform = ((double)(Hash (object, target.id) >> 11) + 0.5)
                   / (double)(1ULL << 53);
  return -std::log (uniform) / target.size;
}

double
TotalSize (const Targets &targets)
{
  double total = 0;
  for (const Target &target : targets)
    total += target.size;
  return total;
}

class Algorithm
{
public:
  virtual ~Algorithm () = default;
  virtual const char *Name () const = 0;
  virtual Places Place (const Targets &targets,
                        const std::vector<uint64_t> &objects)
      = 0;
};

/* The product's.  */
class Rendezvous : public Algorithm
{
public:
  const char *
  Name () const override
  {
    return "weighted rendezvous (place/)";
  }
  Places
  Place (const Targets &targets, const std::vector<uint64_t> &objects) override
  {
    RpOptions options = { "a", 1, 0.1 };
    std::unique_ptr<RpMap, void (*) (RpMap *)> map (rp_new (&options),
                                                    rp_free);
    std::vector<RpTarget> entries;
    Places places;
    for (const Target &target : targets)
      entries.push_back ({ target.id, (double)target.size, "a1", "a" });
    rp_set_targets (map.get (), entries.data (), (uint32_t)entries.size ());
    for (uint64_t object : objects)
      {
        uint32_t indexes[RP_REPLICAS_MAX];
        rp_replicas (map.get (), object, indexes);
        places.push_back (targets[indexes[0]].id);
      }
    return places;
  }
};

/* Places KEYS in order, each on the target with the earliest time that is not
   full.  */
Places
PlaceBounded (const Targets &targets, const std::vector<uint64_t> &keys)
{
  double total = TotalSize (targets);
  std::vector<double> left;
  Places places;
  for (const Target &target : targets)
    left.push_back (
        std::ceil (kBound * (double)keys.size () * target.size / total));
  for (uint64_t key : keys)
    {
      size_t best = targets.size ();
      double best_time = INFINITY;
      for (size_t i = 0; i < targets.size (); i++)
        {
          double time = DrawTime (key, targets[i]);
          if (left[i] < 1 || time >= best_time)
            continue;
          best = i;
          best_time = time;
        }
      left[best]--;
      places.push_back (targets[best].id);
    }
  return places;
}

class BoundedRendezvous : public Algorithm
{
public:
  const char *
  Name () const override
  {
    return "rendezvous, bounded load per object";
  }
  Places
  Place (const Targets &targets, const std::vector<uint64_t> &objects) override
  {
    return PlaceBounded (targets, objects);
  }
};

class Partitions : public Algorithm
{
public:
  const char *
  Name () const override
  {
    return "rendezvous, 4096 partitions, bounded";
  }
  Places
  Place (const Targets &targets, const std::vector<uint64_t> &objects) override
  {
    std::vector<uint64_t> keys (4096);
    std::iota (keys.begin (), keys.end (), 1);
    Places of_partitions = PlaceBounded (targets, keys);
    Places places;
    for (uint64_t object : objects)
      places.push_back (of_partitions[object % keys.size ()]);
    return places;
  }
};

/* A bucket for each unit of size, in the order of the IDs.  */
class Jump : public Algorithm
{
public:
  const char *
  Name () const override
  {
    return "jump hash";
  }
  Places
  Place (const Targets &targets, const std::vector<uint64_t> &objects) override
  {
    std::vector<uint64_t> buckets;
    Places places;
    for (const Target &target : targets)
      buckets.insert (buckets.end (), target.size, target.id);
    for (uint64_t object : objects)
      places.push_back (buckets[(size_t)Bucket (object, buckets.size ())]);
    return places;
  }

private:
  static int64_t
  Bucket (uint64_t key, size_t count)
  {
    int64_t bucket = -1, next = 0;
    while (next < (int64_t)count)
      {
        bucket = next;
        key = key * 2862933555777941757ULL + 1;
        next = (int64_t)((double)(bucket + 1)
                         * ((double)(1LL << 31) / (double)((key >> 33) + 1)));
      }
    return bucket;
  }
};

/* Each target claims entries in the order of its own permutation, as many in a
   round as its size.  */
class Maglev : public Algorithm
{
public:
  const char *
  Name () const override
  {
    return "Maglev table, 65537 entries";
  }
  Places
  Place (const Targets &targets, const std::vector<uint64_t> &objects) override
  {
    constexpr uint64_t kEntries = 65537;
    std::vector<uint64_t> table (kEntries, 0), position, skip;
    Places places;
    for (const Target &target : targets)
      {
        position.push_back (Hash (target.id, 1) % kEntries);
        skip.push_back (Hash (target.id, 2) % (kEntries - 1) + 1);
      }
    uint64_t filled = 0;
    while (filled < kEntries)
      for (size_t i = 0; i < targets.size (); i++)
        for (uint32_t turn = 0; turn < targets[i].size && filled < kEntries;
             turn++)
          {
            while (table[position[i]] != 0)
              position[i] = (position[i] + skip[i]) % kEntries;
            table[position[i]] = targets[i].id;
            filled++;
          }
    for (uint64_t object : objects)
      places.push_back (table[object % kEntries]);
    return places;
  }
};

/* 20 points on a ring for each unit of size; an object goes to the next target
   that is not full.  */
class BoundedRing : public Algorithm
{
public:
  const char *
  Name () const override
  {
    return "consistent hashing, bounded loads";
  }
  Places
  Place (const Targets &targets, const std::vector<uint64_t> &objects) override
  {
    std::vector<std::pair<uint64_t, size_t> > ring;
    std::vector<double> left;
    double total = TotalSize (targets);
    Places places;
    for (size_t i = 0; i < targets.size (); i++)
      {
        for (uint32_t point = 0; point < 20 * targets[i].size; point++)
          ring.push_back ({ Hash (targets[i].id, point), i });
        left.push_back (std::ceil (kBound * (double)objects.size ()
                                   * targets[i].size / total));
      }
    std::sort (ring.begin (), ring.end ());
    for (uint64_t object : objects)
      {
        size_t at
            = (size_t)(std::lower_bound (ring.begin (), ring.end (),
                                         std::make_pair (object, (size_t)0))
                       - ring.begin ());
        while (left[ring[at % ring.size ()].second] < 1)
          at++;
        left[ring[at % ring.size ()].second]--;
        places.push_back (targets[ring[at % ring.size ()].second].id);
      }
    return places;
  }
};

/* Objects stay where they are unless their target is gone or is above the
   bound; each other one goes to the target with the lowest relative load.  */
class CarriedOver : public Algorithm
{
public:
  const char *
  Name () const override
  {
    return "carried over from the last one";
  }
  Places
  Place (const Targets &targets, const std::vector<uint64_t> &objects) override
  {
    double total = TotalSize (targets);
    std::vector<double> loads (targets.size ());
    std::vector<size_t> homeless;
    places.resize (objects.size ());
    for (size_t i = 0; i < objects.size (); i++)
      {
        size_t at = Find (targets, places[i]);
        if (at == targets.size ()
            || loads[at] + 1 > kBound * (double)objects.size ()
                                   * targets[at].size / total)
          homeless.push_back (i);
        else
          loads[at]++;
      }
    for (size_t object : homeless)
      {
        size_t best = 0;
        for (size_t i = 1; i < targets.size (); i++)
          if (loads[i] / targets[i].size < loads[best] / targets[best].size)
            best = i;
        loads[best]++;
        places[object] = targets[best].id;
      }
    return places;
  }

private:
  static size_t
  Find (const Targets &targets, uint64_t id)
  {
    for (size_t i = 0; i < targets.size (); i++)
      if (targets[i].id == id)
        return i;
    return targets.size ();
  }
  Places places;
};

using Factory = std::unique_ptr<Algorithm> (*) ();

template <class T>
std::unique_ptr<Algorithm>
Make ()
{
  return std::make_unique<T> ();
}

struct Figures
{
  double moves = 0, least_moves = 0, sum_of_largest = 0, largest = 0,
         different = 0, objects = 0;
  int states = 0;
};

uint32_t
RandomSize (std::mt19937 &random)
{
  return 2 + (uint32_t)(random () % 7);
}

/* Adds, removes, replaces or resizes a target, or removes a third of all.  */
void
Change (Targets &targets, std::mt19937 &random)
{
  size_t index = random () % targets.size ();
  uint32_t kind = random () % 9;
  if (kind < 4)
    targets.erase (targets.begin () + (long)index);
  if (kind >= 2 && kind < 6)
    targets.push_back ({ random () + 1ULL, RandomSize (random) });
  if (kind == 6 || kind == 7)
    targets[index].size = RandomSize (random);
  if (kind == 8)
    targets.resize (targets.size () - targets.size () / 3);
  std::sort (targets.begin (), targets.end (),
             [] (const Target &a, const Target &b) { return a.id < b.id; });
}

double
LeastMoves (const Targets &before, const Targets &after)
{
  double sum = 0;
  for (const Target &target : after)
    {
      double share = target.size / TotalSize (after);
      for (const Target &old : before)
        if (old.id == target.id)
          share -= old.size / TotalSize (before);
      sum += std::max (0.0, share);
    }
  return sum;
}

double
LargestLoad (const Targets &targets, const Places &places)
{
  double largest = 0;
  for (const Target &target : targets)
    largest = std::max (
        largest, (double)std::count (places.begin (), places.end (), target.id)
                     * TotalSize (targets) / target.size
                     / (double)places.size ());
  return largest;
}

void
RunSeries (unsigned seed, size_t objects_per_target, Factory make,
           Figures &figures)
{
  std::mt19937 random (seed);
  std::unique_ptr<Algorithm> algorithm = make ();
  Targets targets;
  std::vector<uint64_t> objects;
  for (uint32_t i = 20 + random () % 60; i > 0; i--)
    targets.push_back ({ random () + 1ULL, RandomSize (random) });
  for (size_t i = targets.size () * objects_per_target; i > 0; i--)
    objects.push_back (Hash (i, seed));
  std::sort (objects.begin (), objects.end ());
  std::sort (targets.begin (), targets.end (),
             [] (const Target &a, const Target &b) { return a.id < b.id; });
  Places places = algorithm->Place (targets, objects);
  for (int step = 0; step < kSteps; step++)
    {
      Targets before = targets;
      Places old_places = places;
      Change (targets, random);
      places = algorithm->Place (targets, objects);
      for (size_t i = 0; i < objects.size (); i++)
        figures.moves += places[i] != old_places[i];
      figures.least_moves
          += LeastMoves (before, targets) * (double)objects.size ();
      double largest = LargestLoad (targets, places);
      figures.sum_of_largest += largest;
      figures.largest = std::max (figures.largest, largest);
      figures.states++;
    }
  Places fresh = make ()->Place (targets, objects);
  for (size_t i = 0; i < objects.size (); i++)
    figures.different += places[i] != fresh[i];
  figures.objects += (double)objects.size ();
}

double
ElapsedUs (std::chrono::steady_clock::time_point start)
{
  return std::chrono::duration<double, std::micro> (
             std::chrono::steady_clock::now () - start)
      .count ();
}

void
MeasureTime (uint32_t target_count)
{
  constexpr int kRebuilds = 2000, kLookups = 100000;
  static const char *const regions[] = { "a", "b", "c" };
  static const char *const zones[] = { "a1", "b1", "c1", "a2", "b2", "c2" };
  std::vector<RpTarget> targets;
  RpOptions options = { "a", 3, 0.1 };
  RpMap *map = rp_new (&options);
  uint64_t sum = 0;
  for (uint32_t i = 0; i < target_count; i++)
    targets.push_back (
        { Hash (i, 3), 2.0 + i % 7, zones[i % 6], regions[i % 3] });
  auto start = std::chrono::steady_clock::now ();
  for (int i = 0; i < kRebuilds; i++)
    rp_set_targets (map, targets.data (), target_count);
  printf ("%u targets: %.1f us a rebuild", target_count,
          ElapsedUs (start) / kRebuilds);
  start = std::chrono::steady_clock::now ();
  for (int i = 0; i < kLookups; i++)
    {
      uint32_t indexes[RP_REPLICAS_MAX];
      rp_replicas (map, Hash ((uint64_t)i, 4), indexes);
      sum += indexes[0];
    }
  printf (", %.2f us a lookup (%d)\n", ElapsedUs (start) / kLookups, sum > 0);
  rp_free (map);
}

}

int
main (int argc, char **argv)
{
  static const Factory factories[] = {
    Make<Rendezvous>, Make<BoundedRendezvous>, Make<Partitions>, Make<Jump>,
    Make<Maglev>,     Make<BoundedRing>,       Make<CarriedOver>
  };
  unsigned series_count = argc > 1 ? (unsigned)atoi (argv[1]) : 1000;
  size_t objects_per_target = argc > 2 ? (size_t)atoi (argv[2]) : 20;

  for (Factory make : factories)
    {
      Figures figures;
      for (unsigned seed = 1; seed <= series_count; seed++)
        RunSeries (seed, objects_per_target, make, figures);
      printf ("| %s | %.2f | %.2f | %.2f | %.3f |\n", make ()->Name (),
              figures.moves / figures.least_moves,
              figures.sum_of_largest / figures.states, figures.largest,
              figures.different / figures.objects);
    }
  MeasureTime (234);
  MeasureTime (400);
  return 0;
}
