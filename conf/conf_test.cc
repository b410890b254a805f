#include <gtest/gtest.h>

extern "C"
{
#include "conf/conf.h"
}

#include <set>
#include <string>

namespace
{

const char document[] = R"({
  // A small fleet.
  "version": 7, "op_id": "op-1", "author": "Mari \"M\" Tamm",
  "written_ms": 1796371200000, "sheet_date": "2026-12-04",
  "blocks": [{"cidr": "127.0.2.0/24", "region": "nordic"},
             {"cidr":"127.0.1.0/24","region":"baltic"},
             {"cidr":"2001:db8::/32","region":"baltic"}],
  "customers": [{"name": "c1", "rate_per_s": 100, "burst": 20, "keys": [
    {"id": "k1", "sha256":
     "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}]}],
  "services": [{"name": "boards"}],
  "routes": [{"prefix": "/boards/", "service": "boards"},
             {"prefix": "/boards/public/", "service": "boards", "open": true}],
  "regions": [{"name": "baltic", "zones": ["baltic-1", "baltic-2"],
               "capacity_per_s": 500},
              {"name": "nordic", "zones": ["nordic-1"]}],
  "links": [{"from": "baltic", "to": "nordic", "mbit_per_s": 4000,
             "delay_us": 12000}],
  "drains": [{"name": "d1", "kind": "zone", "object": "baltic-2",
              "start_ms": 1, "end_ms": 2}],
  "shifts": [{"name": "s1", "service": "boards", "from": "baltic",
              "to": "nordic", "start_ms": 1, "end_ms": 9, "ramp_ms": 3,
              "share_permille": 200, "cap_per_s": 50}]
  /* end */ })";

CfConfig *
parse (const std::string &text, GError **error = nullptr)
  {
    return cf_from_json (text.c_str (), text.size (), error);
  }

  /* Returns the configuration above with COUNT blocks of one address each,
     which multiplicative hashing spreads over 10.0.0.0/8.  */
  CfConfig *
  make_config_with_blocks (uint32_t count)
  {
    CfConfig *config = parse (document);

    g_array_set_size (config->blocks, 0);
    for (uint32_t i = 0; i < count; i++)
      {
        uint32_t address = 0x0a000000 + (i * 2654435761U >> 8);
        CfBlock block = {};
        block.prefix_bits = 128;
        block.region = i % 2;
        block.address[10] = block.address[11] = 0xff;
        for (int byte = 0; byte < 4; byte++)
          block.address[12 + byte] = (uint8_t)(address >> (24 - 8 * byte));
        g_array_append_val (config->blocks, block);
      }
    cf_sort_blocks (config);
    return config;
  }

  std::set<std::string>
  part_hashes (const CfManifest *manifest)
  {
    std::set<std::string> result;
    for (guint i = 0; i < manifest->parts->len; i++)
      result.insert (
          ((CfPart *)g_ptr_array_index (manifest->parts, i))->sha256);
    return result;
  }

  uint32_t
  count_new_parts (const CfConfig *from, const CfConfig *to)
  {
    g_autoptr (CfManifest) old_manifest = cf_split (from);
    g_autoptr (CfManifest) new_manifest = cf_split (to);
    std::set<std::string> old_hashes = part_hashes (old_manifest);
    uint32_t count = 0;

    for (const std::string &hash : part_hashes (new_manifest))
      count += old_hashes.count (hash) == 0;
    return count;
  }

  } // namespace

  /* Guards against a field that is read but not written, or vice versa, and
     against blocks that come before the regions they name.  */
  TEST (Conf, DocumentRoundTrips)
  {
    g_autoptr (GError) error = nullptr;
    g_autoptr (CfConfig) config = parse (document, &error);
    ASSERT_NE (config, nullptr) << error->message;
    g_autofree char *text = cf_to_json (config);
    g_autoptr (CfConfig) reread = parse (text, &error);
    ASSERT_NE (reread, nullptr) << error->message << text;
    g_autofree char *reread_text = cf_to_json (reread);
    EXPECT_STREQ (text, reread_text);
    g_autoptr (GPtrArray) lines = cf_diff (config, reread);
    EXPECT_EQ (lines->len, 0u);
    EXPECT_EQ (cf_find_customer (reread, "c1")->weight, 100u);
    EXPECT_STREQ (reread->author, "Mari \"M\" Tamm");
    EXPECT_EQ (g_array_index (reread->blocks, CfBlock, 0).region, 0);
    EXPECT_EQ (g_array_index (reread->blocks, CfBlock, 1).region, 1);
    EXPECT_EQ (cf_region_of_zone (reread, "nordic-1"), 1);
  }

  /* Guards against an invalid document being accepted, and against an error of
     the wrong type or without the place.  */
  TEST (Conf, InvalidDocumentsGiveTypeAndPlace)
  {
    static const struct
    {
      const char *from, *to;
      CfError code;
      const char *message;
    } cases[] = {
      { "\"version\": 7", "\"version\": 7,,", CF_ERROR_SYNTAX, "line 3" },
      { "/* end */ }", "", CF_ERROR_SYNTAX, "expected" },
      { "/* end */ }", "/* end */ } x", CF_ERROR_SYNTAX, "text after" },
      { "\"burst\": 20", "\"burst\": 20, \"brust\": 1", CF_ERROR_FIELD,
        "customers[0].brust" },
      { "\"burst\": 20, ", "", CF_ERROR_FIELD, "customers[0].burst" },
      { "\"burst\": 20", "\"burst\": \"20\"", CF_ERROR_FIELD,
        "customers[0].burst" },
      { "\"burst\": 20", "\"burst\": 0", CF_ERROR_RANGE,
        "customers[0].burst" },
      { "\"version\": 7", "\"version\": -1", CF_ERROR_RANGE, "version" },
      { "\"version\": 7", "\"version\": 7, \"version\": 8", CF_ERROR_DUPLICATE,
        "version" },
      { "\"object\": \"baltic-2\"", "\"object\": \"b-3\"", CF_ERROR_REFERENCE,
        "no zone \"b-3\"" },
      { "\"region\": \"nordic\"", "\"region\": \"north\"", CF_ERROR_REFERENCE,
        "no region \"north\"" },
      { "127.0.1.0/24", "127.0.2.0/24", CF_ERROR_DUPLICATE, "127.0.2.0/24" },
      { "127.0.1.0/24", "127.0.1.1/24", CF_ERROR_RANGE, "blocks[1]" },
      { "127.0.1.0/24", "127.0.01.0/24", CF_ERROR_RANGE, "blocks[1]" },
      { "\"nordic-1\"", "\"baltic-1\"", CF_ERROR_DUPLICATE, "baltic-1" },
      { "\"ramp_ms\": 3", "\"ramp_ms\": 30", CF_ERROR_RANGE, "ramp" },
      { "\"c1\"", "\"C1\"", CF_ERROR_RANGE, "customers[0].name" },
      { "\"prefix\": \"/boards/public/\"", "\"prefix\": \"/boards/\"",
        CF_ERROR_DUPLICATE, "/boards/" },
    };

    for (const auto &c : cases)
      {
        std::string text = document;
        g_autoptr (GError) error = nullptr;
        text.replace (text.find (c.from), strlen (c.from), c.to);
        g_autoptr (CfConfig) config = parse (text, &error);
        ASSERT_EQ (config, nullptr) << c.to;
        EXPECT_TRUE (g_error_matches (error, CF_ERROR, c.code))
            << c.to << ": " << error->message;
        EXPECT_NE (strstr (error->message, c.message), nullptr)
            << c.to << ": " << error->message;
      }
  }

  /* Guards against a program that builds and publishes a configuration that
     every daemon rejects.  */
  TEST (Conf, CheckRejectsInvalidBuiltConfig)
  {
    g_autoptr (CfConfig) config = parse (document);
    EXPECT_TRUE (cf_check (config, nullptr));
    auto *customer = (CfCustomer *)g_ptr_array_index (config->customers, 0);
    customer->burst = 0;
    EXPECT_FALSE (cf_check (config, nullptr));
    customer->burst = 1;
    auto *route = (CfRoute *)g_ptr_array_index (config->routes, 0);
    route->prefix[1] = '\x7f';
    EXPECT_FALSE (cf_check (config, nullptr));
    route->prefix[1] = 'b';
    EXPECT_TRUE (cf_check (config, nullptr));
    cf_add_service (config, "Boards");
    EXPECT_FALSE (cf_check (config, nullptr));
  }

  /* Guards against a plain key that an operator wrote in place of its SHA-256
     appearing in a log or a response.  */
  TEST (Conf, PlainKeyIsNotInErrorMessages)
  {
    std::string text = document;
    g_autoptr (GError) error = nullptr;
    text.replace (text.find ("0123456789abcdef"), 16, "hunter2");
    g_autoptr (CfConfig) config = parse (text, &error);
    ASSERT_EQ (config, nullptr);
    EXPECT_EQ (strstr (error->message, "hunter2"), nullptr) << error->message;
  }

  /* Guards against /boards/ matching /boardsmith, and against the shorter of
     two matching prefixes being chosen.  */
  TEST (Conf, RouteIsLongestPrefixOfWholeSegments)
  {
    g_autoptr (CfConfig) config = parse (document);
    EXPECT_FALSE (cf_find_route (config, "/boards/a?b")->open);
    EXPECT_TRUE (cf_find_route (config, "/boards/public/a")->open);
    EXPECT_FALSE (cf_find_route (config, "/boards")->open);
    EXPECT_FALSE (cf_find_route (config, "/boards/publicity")->open);
    EXPECT_EQ (cf_find_route (config, "/boardsmith"), nullptr);
  }

  /* Guards against rows that are lost or moved between parts, and against
     parts above the size limit.  */
  TEST (Conf, SplitAndJoinRoundTrip)
  {
    g_autoptr (GError) error = nullptr;
    g_autoptr (CfConfig) config = make_config_with_blocks (20000);
    g_autoptr (CfManifest) manifest = cf_split (config);
    g_autofree char *json = cf_manifest_to_json (manifest);
    g_autoptr (CfManifest) without_content
        = cf_manifest_from_json (json, strlen (json), &error);
    ASSERT_NE (without_content, nullptr) << error->message;
    EXPECT_EQ (cf_join (without_content, &error), nullptr);
    EXPECT_TRUE (g_error_matches (error, CF_ERROR, CF_ERROR_PART));
    g_clear_error (&error);
    for (guint i = 0; i < manifest->parts->len; i++)
      {
        CfPart *part = (CfPart *)g_ptr_array_index (manifest->parts, i);
        ASSERT_LE (part->size_bytes, (uint32_t)CF_PART_MAX_BYTES);
        ASSERT_GE (cf_manifest_set_content (without_content, part->content),
                   1u);
      }
    g_autoptr (CfConfig) joined = cf_join (without_content, &error);
    ASSERT_NE (joined, nullptr) << error->message;
    g_autofree char *text = cf_to_json (config);
    g_autofree char *joined_text = cf_to_json (joined);
    EXPECT_STREQ (text, joined_text);
  }

  /* Guards against a changed part being given the content that it has in
     another version.  */
  TEST (Conf, ReuseTakesOnlyEqualParts)
  {
    g_autoptr (CfConfig) config = make_config_with_blocks (5000);
    g_autoptr (CfManifest) old_manifest = cf_split (config);
    ((CfCustomer *)g_ptr_array_index (config->customers, 0))->burst = 21;
    g_autoptr (CfManifest) changed_manifest = cf_split (config);
    g_autofree char *json = cf_manifest_to_json (changed_manifest);
    g_autoptr (CfManifest) without_content
        = cf_manifest_from_json (json, strlen (json), nullptr);
    EXPECT_EQ (cf_manifest_reuse_parts (without_content, old_manifest), 1u);
    EXPECT_EQ (cf_manifest_reuse_parts (without_content, changed_manifest),
               0u);
  }

  /* Guards against a change of one block moving the boundaries of all later
     parts, after which every daemon would fetch the whole table.  */
  TEST (Conf, ChangeOfOneBlockChangesFewParts)
  {
    g_autoptr (CfConfig) config = make_config_with_blocks (20000);

    for (guint i = 0; i < config->blocks->len; i += 1999)
      {
        g_autoptr (CfConfig) changed = make_config_with_blocks (20000);
        CfBlock *block = &g_array_index (changed->blocks, CfBlock, i);
        block->region = !block->region;
        EXPECT_LE (count_new_parts (config, changed), 2u) << "region of " << i;
        g_array_remove_index (changed->blocks, i);
        EXPECT_LE (count_new_parts (config, changed), 2u)
            << "removal of " << i;
        EXPECT_LE (count_new_parts (changed, config), 2u)
            << "addition of " << i;
      }
  }

  /* Guards against blocks that stay unsorted if the document has them in
     another order, and against a merge that loses rows at the end of a run. */
  TEST (Conf, UnsortedBlocksAreSorted)
  {
    g_autoptr (CfConfig) config = make_config_with_blocks (20011);
    g_autofree char *sorted = cf_to_json (config);
    for (guint i = 0; i < config->blocks->len / 2; i++)
      std::swap (g_array_index (config->blocks, CfBlock, i),
                 g_array_index (config->blocks, CfBlock,
                                config->blocks->len - 1 - i));
    g_autofree char *reversed = cf_to_json (config);
    g_autoptr (GError) error = nullptr;
    g_autoptr (CfConfig) reread = parse (reversed, &error);
    ASSERT_NE (reread, nullptr) << error->message;
    g_autofree char *text = cf_to_json (reread);
    EXPECT_STREQ (text, sorted);
  }

  /* Guards against a step that ignores its row limit and so blocks the event
     loop.  */
  TEST (Conf, JobStepsKeepToRowLimit)
  {
    g_autoptr (CfConfig) config = make_config_with_blocks (20000);
    g_autofree char *text = cf_to_json (config);
    g_autoptr (GBytes) bytes = g_bytes_new_static (text, strlen (text));
    g_autoptr (CfManifest) manifest = cf_split (config);
    CfJob *jobs[] = { cf_read_begin (bytes), cf_write_begin (config),
                      cf_split_begin (config), cf_join_begin (manifest) };

    for (CfJob *job : jobs)
      {
        int steps = 1;
        while (cf_job_step (job, 1000, nullptr) == CF_JOB_RUNNING)
          steps++;
        EXPECT_GE (steps, 15);
        cf_job_free (job);
      }
  }

  /* Guards against a change that is applied with another version, author or
     operation than its envelope states.  */
  TEST (Conf, ChangeUsesItsEnvelope)
  {
    static const struct
    {
      const char *head, *tail;
      gboolean valid;
    } cases[] = {
      { "{\"op_id\":\"op-2\",\"author\":\"Ann\",\"base_version\":41,"
        "\"document\":",
        "}", TRUE },
      { "{\"document\":",
        ",\"author\":\"Ann\",\"op_id\":\"op-2\",\"base_version\":41}", TRUE },
      { "{\"author\":\"Ann\",\"base_version\":41,\"document\":", "}", FALSE },
      { "{\"op_id\":\"op-2\",\"author\":\"\",\"base_version\":41,"
        "\"document\":",
        "}", FALSE },
      { "{\"op_id\":\"op-2\",\"author\":\"Ann\",\"base_version\":41,"
        "\"document\":",
        ",\"services\":[]}", FALSE },
    };

    for (const auto &c : cases)
      {
        std::string text = std::string (c.head) + document + c.tail;
        g_autoptr (GBytes) bytes
            = g_bytes_new_static (text.c_str (), text.size ());
        g_autoptr (CfJob) job = cf_read_change_begin (bytes);
        CfJobStatus status;
        while ((status = cf_job_step (job, 100, nullptr)) == CF_JOB_RUNNING)
          continue;
        ASSERT_EQ (status == CF_JOB_DONE, c.valid) << c.head;
        if (!c.valid)
          continue;
        g_autoptr (CfConfig) config = cf_job_take_config (job);
        EXPECT_EQ (config->version, 42u);
        EXPECT_STREQ (config->op_id, "op-2");
        EXPECT_STREQ (config->author, "Ann");
      }
  }

  /* Guards against a change that differs after it was written and read.  */
  TEST (Conf, ChangeRoundTrips)
  {
    g_autoptr (CfConfig) config = parse (document);
    g_autofree char *text = cf_change_to_json (config);
    g_autoptr (GBytes) bytes = g_bytes_new_static (text, strlen (text));
    g_autoptr (CfJob) job = cf_read_change_begin (bytes);
    while (cf_job_step (job, 100, nullptr) == CF_JOB_RUNNING)
      continue;
    g_autoptr (CfConfig) reread = cf_job_take_config (job);
    g_autofree char *first = cf_to_json (config);
    g_autofree char *second = cf_to_json (reread);
    EXPECT_STREQ (first, second);
  }

  /* Guards against a difference that the operator is not shown.  */
  TEST (Conf, DiffListsEveryChange)
  {
    std::string text = document;
    g_autoptr (CfConfig) from = parse (text);
    text.replace (text.find ("\"burst\": 20"), 11, "\"burst\": 30");
    text.replace (text.find ("89abcdef\"}"), 10,
                  "89abcdef\", \"withdrawn\": true}");
    text.replace (text.find ("127.0.2.0"), 9, "127.0.3.0");
    text.replace (text.find ("\"services\": ["), 13,
                  "\"services\": [{\"name\": \"palettes\"}, ");
    text.replace (
        text.find ("\"drains\": ["), 11,
        "\"drains\": [{\"name\": \"d2\", \"kind\": \"vm\", "
        "\"object\": \"vm1\", \"start_ms\": 1, \"end_ms\": 1800127800000}, ");
    g_autoptr (CfConfig) to = parse (text);
    g_autoptr (GPtrArray) lines = cf_diff (from, to);
    std::string diff;
    for (guint i = 0; i < lines->len; i++)
      diff += std::string ((char *)g_ptr_array_index (lines, i)) + "\n";
    EXPECT_EQ (diff, "customer c1: burst 20 -> 30\n"
                     "customer c1: key k1 withdrawn\n"
                     "service palettes: added\n"
                     "drain d2: added, kind \"vm\", object \"vm1\", "
                     "end_ms 2027-01-16T19:30:00Z\n"
                     "block 127.0.2.0/24: removed\n"
                     "block 127.0.3.0/24: added, region nordic\n");
  }
