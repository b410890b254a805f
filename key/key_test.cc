#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C"
{
#include "key/key.h"
}

namespace
{

const char secret[] = "s3cret-Key.0123456789";

/* A configuration with CUSTOMER_COUNT customers.  KEY_TEXTS lists the customer
   index and the text of each key; a leading "-" marks a revoked key.  */
struct Config
{
  CfConfig config = {};
  std::vector<CfCustomer> customers;
  std::vector<CfKey> keys;

  Config (unsigned customer_count,
          std::vector<std::pair<int, std::string> > key_texts)
      : customers (customer_count), keys (key_texts.size ())
  {
    config.customers = g_ptr_array_new ();
    for (CfCustomer &customer : customers)
      {
        customer.name = (char *)"c";
        customer.keys = g_ptr_array_new ();
        g_ptr_array_add (config.customers, &customer);
      }
    for (size_t i = 0; i < key_texts.size (); i++)
      {
        std::string text = key_texts[i].second;
        keys[i].id = (char *)"id";
        keys[i].withdrawn = text[0] == '-';
        text = text.substr (keys[i].withdrawn);
        ky_digest (text.data (), text.size (), keys[i].sha256);
        g_ptr_array_add (customers[key_texts[i].first].keys, &keys[i]);
      }
  }
  ~Config ()
  {
    for (CfCustomer &customer : customers)
      g_ptr_array_unref (customer.keys);
    g_ptr_array_unref (config.customers);
  }
};

/* Returns the error code, or -1 if the key is found.  */
int
lookup (const KyTable *table, const std::string &key, KyMatch *match)
{
  uint8_t digest[KY_DIGEST_BYTES];
  g_autoptr (GError) error = NULL;

  ky_digest (key.data (), key.size (), digest);
  if (ky_lookup (table, digest, match, &error))
    return -1;
  EXPECT_EQ (NULL, strstr (error->message, key.c_str ()));
  return error->code;
}

/* Guards against a key that is accepted for another customer, and against one
   that is still accepted after it was revoked.  */
TEST (Key, FindsEachCustomerByItsKeys)
{
  std::vector<std::pair<int, std::string> > keys;
  for (int i = 0; i < 5000; i++)
    keys.push_back (
        { i % 50, (i % 7 == 0 ? "-key" : "key") + std::to_string (i) });
  keys.push_back ({ 1, "-twice" });
  keys.push_back ({ 2, "twice" });
  Config config (50, keys);
  g_autoptr (KyTable) table = ky_table_new (&config.config);
  KyMatch match;

  for (int i = 0; i < 5000; i++)
    {
      int expected = i % 7 == 0 ? (int)KY_ERROR_REVOKED : -1;
      ASSERT_EQ (expected, lookup (table, "key" + std::to_string (i), &match));
      if (expected != -1)
        continue;
      ASSERT_EQ (&config.customers[i % 50], match.customer);
    }
  EXPECT_EQ (KY_ERROR_UNKNOWN, lookup (table, "key5000", &match));
  EXPECT_EQ (KY_ERROR_REVOKED, lookup (table, "twice", &match));
}

/* Guards against a lookup in an empty table that reads out of bounds.  */
TEST (Key, EmptyTableHasNoKey)
{
  Config config (1, {});
  g_autoptr (KyTable) table = ky_table_new (&config.config);
  KyMatch match;

  EXPECT_EQ (KY_ERROR_UNKNOWN, lookup (table, "a", &match));
}

/* Guards against a digest comparison that ignores a byte.  */
TEST (Key, ComparesEveryByte)
{
  uint8_t a[KY_DIGEST_BYTES] = {};

  for (int i = 0; i < KY_DIGEST_BYTES * 8; i++)
    {
      uint8_t b[KY_DIGEST_BYTES] = {};
      b[i / 8] = (uint8_t)(1 << i % 8);
      ASSERT_FALSE (ky_digest_equal (a, b));
    }
  EXPECT_TRUE (ky_digest_equal (a, a));
}

struct Header
{
  const char *name;
  const char *value;
};

HtHeaders *
make_headers (const std::vector<Header> &items)
{
  HtHeaders *headers = ht_headers_new ();
  for (const Header &item : items)
    ht_headers_add (headers, item.name, item.value);
  return headers;
}

/* Returns the error code, or -1 if the extracted key is "k1".  */
int
extract_key (const std::vector<Header> &items)
{
  g_autoptr (HtHeaders) headers = make_headers (items);
  g_autoptr (GError) error = NULL;
  uint8_t digest[KY_DIGEST_BYTES];
  uint8_t expected[KY_DIGEST_BYTES];

  if (!ky_extract_digest (headers, digest, &error))
    return error->code;
  ky_digest ("k1", 2, expected);
  EXPECT_TRUE (ky_digest_equal (expected, digest));
  return -1;
}

/* Guards against running a request for one of two customers when the keys of
   both were presented.  */
TEST (Key, ExtractsOneKeyFromHeaders)
{
  EXPECT_EQ (-1, extract_key ({ { "authorization", "bearer  k1" } }));
  EXPECT_EQ (-1, extract_key ({ { "X-API-KEY", "k1" },
                                { "Authorization", "Bearer k1" },
                                { "x-api-key", "k1" } }));
  EXPECT_EQ (-1, extract_key ({ { "Authorization", "Basic azI=" },
                                { "X-Api-Key", "k1" } }));
  EXPECT_EQ (KY_ERROR_CONFLICT,
             extract_key ({ { "X-Api-Key", "k1" }, { "x-api-key", "k2" } }));
  EXPECT_EQ (KY_ERROR_CONFLICT,
             extract_key (
                 { { "Authorization", "Bearer k1" }, { "X-Api-Key", "k2" } }));
  EXPECT_EQ (KY_ERROR_MISSING,
             extract_key ({ { "Authorization", "Basic azE=" } }));
  EXPECT_EQ (KY_ERROR_MISSING,
             extract_key ({ { "Authorization", "Bearerk1" } }));
  EXPECT_EQ (KY_ERROR_MALFORMED, extract_key ({ { "X-Api-Key", "" } }));
  EXPECT_EQ (KY_ERROR_MALFORMED, extract_key ({ { "X-Api-Key", "k1, k2" } }));
  EXPECT_EQ (KY_ERROR_MALFORMED,
             extract_key ({ { "Authorization", "Bearer" } }));
  EXPECT_EQ (
      KY_ERROR_MALFORMED,
      extract_key ({ { "X-Api-Key", std::string (257, 'a').c_str () } }));
}

std::string
strip_query (const std::string &query)
{
  g_autoptr (HtHeaders) headers = make_headers ({ { "X-Api-Key", secret } });
  g_autofree char *text = g_strdup (query.c_str ());

  EXPECT_TRUE (ky_strip (headers, "/", &text, NULL));
  return text != NULL ? text : "(none)";
}

/* Guards against a key that reaches a target in the query.  */
TEST (Key, StripsQuery)
{
  const std::string s = secret;

  EXPECT_EQ ("a=1&b=%20+;c", strip_query ("a=1&b=%20+;c"));
  EXPECT_EQ ("(none)", strip_query ("key=x"));
  EXPECT_EQ ("(none)", strip_query ("KEY=x&api_key=y;Api_Key"));
  EXPECT_EQ ("a=1;b=2", strip_query ("a=1;key=x;b=2"));
  EXPECT_EQ ("b=2", strip_query ("%6bey=x&b=2&%6B%65%79=y&%256bey=z"));
  EXPECT_EQ ("a", strip_query ("a&api%5Fkey=x&api-key=y&key%5B%5D=z&+key=x"));
  EXPECT_EQ ("a=1", strip_query ("a=1&other=" + s));
  EXPECT_EQ ("a=1", strip_query ("a=1&other=x%73" + s.substr (0) + "y"));
  EXPECT_EQ ("a=1", strip_query ("a=1&other=%73" + s.substr (1)));
  EXPECT_EQ ("a=1", strip_query ("a=1&other=%2573" + s.substr (1)));
  EXPECT_EQ ("sort=id-of-board",
             strip_query ("key=id-of-board&sort=id-of-board"));
  EXPECT_EQ ("a=1", strip_query ("a=1&b=czNjcmV0LUtleS4wMTIzNDU2Nzg5"));
  EXPECT_EQ ("monkey=1&keys=2", strip_query ("monkey=1&keys=2"));
}

/* Guards against a key that reaches a target in a header, and against a caller
   that claims to be another customer with X-Customer.  */
TEST (Key, StripsHeaders)
{
  const std::string s = secret;
  const std::string basic = "Basic dXNlcjpzM2NyZXQtS2V5LjAxMjM0NTY3ODk=";
  const std::string referer = "http://a/?x=%73" + s.substr (1);
  const std::string cookie = "id=1; k=" + s;
  const std::string bearer = "Bearer " + s;
  g_autoptr (HtHeaders) headers
      = make_headers ({ { "AUTHORIZATION", bearer.c_str () },
                        { "x_api_key", secret },
                        { "X-Api-Key", "other" },
                        { "Proxy-Authorization", basic.c_str () },
                        { "X-Customer", "c9" },
                        { "x_customer", "c9" },
                        { "Referer", referer.c_str () },
                        { "X-Copy", basic.c_str () },
                        { "X-Short", "the other one" },
                        { "Cookie", cookie.c_str () },
                        { "Cookie", "id=2; another=1" },
                        { "Accept", "*/*" } });
  char *query = NULL;

  ASSERT_TRUE (ky_strip (headers, "/a", &query, NULL));
  ASSERT_EQ (2u, headers->count);
  EXPECT_STREQ ("id=2; another=1", headers->items[0].value);
  EXPECT_STREQ ("Accept", headers->items[1].name);
  EXPECT_EQ (NULL, query);
}

/* Guards against forwarding a path that contains the key.  */
TEST (Key, RejectsKeyInPath)
{
  for (std::string path : { std::string ("/x/") + secret,
                            std::string ("/%73") + (secret + 1) + "/y" })
    {
      g_autoptr (HtHeaders) headers
          = make_headers ({ { "X-Api-Key", secret } });
      g_autoptr (GError) error = NULL;
      char *query = NULL;
      EXPECT_FALSE (ky_strip (headers, path.c_str (), &query, &error));
      ASSERT_TRUE (g_error_matches (error, KY_ERROR, KY_ERROR_KEY_IN_PATH));
      EXPECT_EQ (NULL, strstr (error->message, "s3cret"));
    }
}

}
