#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "assign/assign.h"
}

namespace
{

constexpr int SEED_COUNT = 150;
constexpr int TARGET_COUNT = 8;
constexpr int64_t START_MS = 1000000;

struct DocDeleter
{
  void
  operator() (AsDoc *doc) const
  {
    as_free (doc);
  }
};
using DocPtr = std::unique_ptr<AsDoc, DocDeleter>;

/* A member with its own, possibly outdated, copy of the document.  */
struct Member
{
  std::string vm;
  std::string zone;
  bool alive = true;
  bool leaving = false;
  bool restarted = false;
  uint64_t incarnation = 1;
  DocPtr doc;
  uint64_t index = 0; /* store index of the copy */
  int op_count = 0;
  AsPlacement *placement = as_placement_new ();
  ~Member () { as_placement_free (placement); }
};

struct Fleet
{
  std::mt19937 random;
  std::vector<std::unique_ptr<Member> > members;
  std::map<std::string, AsFencedLease> fenced;
  std::vector<std::string> target_names, target_zones;
  DocPtr store{ as_new () };
  uint64_t index = 1; /* of the document in the store */
  int64_t now_ms = START_MS;

  explicit Fleet (int seed) : random (seed)
  {
    int count = 2 + (int)(random () % 6);
    for (int i = 0; i < count; i++)
      {
        auto m = std::make_unique<Member> ();
        m->vm = "vm" + std::to_string (i);
        m->zone = "zone" + std::to_string (i % 3);
        members.push_back (std::move (m));
      }
    for (int i = 0; i < TARGET_COUNT; i++)
      {
        target_names.push_back ("target" + std::to_string (i));
        target_zones.push_back ("zone" + std::to_string (i % 4));
      }
  }

  std::vector<AsVm>
  live_vms ()
  {
    std::vector<AsVm> vms;
    for (auto &m : members)
      if (m->alive && !m->leaving)
        vms.push_back ({ m->vm.c_str (), m->zone.c_str (), "region" });
    return vms;
  }

  void
  read (Member &m)
  {
    m.doc.reset (as_copy (store.get ()));
    m.index = index;
  }

  /* Lets M compute a change and write it by CAS.  If LOSE_REPLIES is set, one
     reply in three is lost at random and M keeps its old copy.  */
  void
  write_change (Member &m, bool lose_replies)
  {
    if (m.doc == nullptr)
      read (m);
    std::vector<AsVm> vms = live_vms ();
    std::vector<AsFencedLease> fenced_leases;
    std::vector<AsTarget> targets;
    std::string op_id = m.vm + "-" + std::to_string (m.incarnation) + "-"
                        + std::to_string (m.op_count++);
    AsView view = {};

    for (auto &lease : fenced)
      fenced_leases.push_back (lease.second);
    for (int i = 0; i < TARGET_COUNT; i++)
      targets.push_back ({ target_names[i].c_str (), target_zones[i].c_str (),
                           "region", NULL, 0 });
    as_placement_update (m.placement, vms.data (), vms.size (),
                         targets.data (), targets.size (), now_ms);
    view.self = { m.vm.c_str (), m.zone.c_str (), "region" };
    view.incarnation = m.incarnation;
    view.op_id = op_id.c_str ();
    view.lease_active = TRUE;
    view.leaving = m.leaving;
    const AsMember *own = as_find_member (m.doc.get (), m.vm.c_str ());
    view.restarted
        = m.restarted && own != NULL && own->incarnation < m.incarnation;
    view.live = vms.data ();
    view.live_count = vms.size ();
    view.fenced = fenced_leases.data ();
    view.fenced_count = fenced_leases.size ();
    view.targets = targets.data ();
    view.target_count = targets.size ();
    DocPtr next (as_next_doc (m.doc.get (), &view, now_ms));
    if (next == nullptr)
      return;
    if (m.index == index)
      {
        char *text = as_format (next.get ());
        GError *error = NULL;
        DocPtr parsed (as_parse (text, strlen (text), &error));
        ASSERT_NE (nullptr, parsed) << error->message;
        g_free (text);
        EXPECT_EQ (store->version + 1, parsed->version);
        store = std::move (parsed);
        index++;
        EXPECT_TRUE (
            as_find_member (store.get (), m.vm.c_str ()) == NULL
            || as_write_applied (store.get (), m.vm.c_str (), op_id.c_str ()));
      }
    if (!lose_replies || random () % 3 != 0)
      read (m);
  }

  void
  fence (Member &m)
  {
    m.alive = false;
    /* A lease can be fenced after its TTL of 3 s and a margin of 0.5 s.  */
    fenced[m.vm] = { m.vm.c_str (), m.incarnation, now_ms + 3500, FALSE };
  }

  void
  restart (Member &m)
  {
    fenced.erase (m.vm);
    m.alive = true;
    m.leaving = false;
    m.restarted = true;
    m.incarnation++;
    m.doc.reset ();
  }

  void
  run (int64_t ms)
  {
    for (int64_t end_ms = now_ms + ms; now_ms < end_ms; now_ms += 500)
      for (auto &m : members)
        if (m->alive)
          {
            read (*m);
            write_change (*m, false);
          }
  }
};

/* Guards against weights or slots that are assigned twice or lost after CAS
   conflicts, lost replies, fencing and restarts.  as_check runs on every
   document; at the end no fenced member may have an entry.  */
TEST (Assign, TotalsHoldThroughConflictsFencingAndRestarts)
{
  for (int seed = 0; seed < SEED_COUNT && !testing::Test::HasFailure ();
       seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      Fleet fleet (seed);

      for (int i = 0; i < 400; i++)
        {
          Member &m = *fleet.members[fleet.random () % fleet.members.size ()];

          fleet.now_ms += fleet.random () % 400;
          switch (fleet.random () % 40)
            {
            case 0:
              if (m.alive && fleet.live_vms ().size () > 1)
                fleet.fence (m);
              break;
            case 1:
              if (!m.alive)
                fleet.restart (m);
              break;
            case 2:
              m.leaving = m.alive && fleet.live_vms ().size () > 1;
              break;
            case 3:
              m.leaving = false;
              break;
            default:
              if (m.alive)
                fleet.write_change (m, true);
            }
          EXPECT_TRUE (as_check (fleet.store.get (), NULL));
        }
      fleet.run (30000);
      fleet.now_ms += AS_BASE_RECLAIM_MS;
      fleet.run (30000);
      std::vector<AsVm> live_vms = fleet.live_vms ();
      uint32_t slots = 0;
      for (guint i = 0; i < fleet.store->members->len; i++)
        {
          auto *member
              = (AsMember *)g_ptr_array_index (fleet.store->members, i);
          EXPECT_EQ (0u, fleet.fenced.count (member->vm)) << member->vm;
          for (guint s = 0; s < member->slots->len; s++)
            slots += ((AsSlot *)g_ptr_array_index (member->slots, s))->base
                     + ((AsSlot *)g_ptr_array_index (member->slots, s))->flex;
        }
      EXPECT_EQ (3u * TARGET_COUNT, slots);
      /* Besides rounding, less than half of an even split stays free.  */
      EXPECT_LT (fleet.store->free_base,
                 AS_BASE_WEIGHT / live_vms.size () / 2 + live_vms.size ());
    }
}

/* Guards against the flex share of a fenced member staying assigned, and
   against its base share being reassigned before it has expired.  */
TEST (Assign, ReclaimsFlexShareAtOnceAndBaseShareLater)
{
  Fleet fleet (1);

  fleet.run (10000);
  Member &fenced_member = *fleet.members[0];
  uint32_t base = as_find_member (fleet.store.get (), "vm0")->base;
  fleet.fence (fenced_member);
  fleet.run (10000);
  const AsMember *entry = as_find_member (fleet.store.get (), "vm0");
  ASSERT_NE (nullptr, entry);
  EXPECT_EQ (0u, entry->flex);
  EXPECT_EQ (base, entry->base);
  fleet.now_ms = fleet.fenced["vm0"].fenced_at_ms + AS_BASE_RECLAIM_MS - 1000;
  fleet.run (500);
  EXPECT_NE (nullptr, as_find_member (fleet.store.get (), "vm0"));
  fleet.run (5000);
  EXPECT_EQ (nullptr, as_find_member (fleet.store.get (), "vm0"));
}

/* Guards against a slot being used by its next holder while requests of the
   fenced holder may still be running on it.  */
TEST (Assign, WithholdsSlotsOfFencedMember)
{
  Fleet fleet (2);

  fleet.run (10000);
  const AsMember *entry = as_find_member (fleet.store.get (), "vm0");
  ASSERT_GT (entry->slots->len, 0u);
  std::string target = ((AsSlot *)g_ptr_array_index (entry->slots, 0))->target;
  fleet.fence (*fleet.members[0]);
  int64_t fenced_ms = fleet.fenced["vm0"].fenced_at_ms;
  auto assigned_flex = [&] {
    uint32_t flex = 0;
    for (guint i = 0; i < fleet.store->members->len; i++)
      {
        auto *member = (AsMember *)g_ptr_array_index (fleet.store->members, i);
        const AsSlot *slot = as_find_slot (member, target.c_str ());
        flex += slot == NULL ? 0 : slot->flex;
      }
    return flex;
  };
  fleet.now_ms = fenced_ms;
  fleet.run (AS_WITHHOLD_MS - 1000);
  EXPECT_EQ (0u, assigned_flex ());
  fleet.run (5000);
  EXPECT_EQ (2u, assigned_flex ());
}

/* Guards against accepting a malformed document, or one whose weights or slots
   do not add up.  */
TEST (Assign, ParseRejectsInvalidDocuments)
{
  const struct
  {
    const char *json;
    int code;
  } cases[] = {
    { "{", AS_ERROR_SYNTAX },
    { "{\"version\":1}", AS_ERROR_FIELD },
    { "{\"version\":1,\"free_base\":1,\"free_flex\":1,\"members\":[],"
      "\"withheld\":[]}",
      AS_ERROR_SUM },
    { "{\"version\":1,\"free_base\":21845,\"free_flex\":43691,\"members\":[],"
      "\"withheld\":[{\"target\":\"a\",\"base\":1,\"flex\":2,\"until_ms\":1},"
      "{\"target\":\"a\",\"base\":1,\"flex\":0,\"until_ms\":1}]}",
      AS_ERROR_SLOT },
  };

  for (const auto &test_case : cases)
    {
      GError *error = NULL;
      EXPECT_EQ (nullptr,
                 as_parse (test_case.json, strlen (test_case.json), &error));
      EXPECT_TRUE (g_error_matches (error, AS_ERROR, test_case.code))
          << test_case.json;
      g_clear_error (&error);
    }
}

}
