#include "demo/demo.h"

#include <string.h>

/* Index of each column, -1 if the sheet lacks it.  */
typedef struct
{
  int kind;
  int name;
  int customer;
  int sha256;
  int rate;
  int burst;
  int date;
} Columns;

static void
customer_free (void *data)
{
  DeCustomer *customer = data;

  g_free (customer->name);
  g_free (customer->key);
  g_free (customer);
}

static int
find_column (char **header, const char *name)
{
  for (int i = 0; header[i] != NULL; i++)
    if (strcmp (header[i], name) == 0)
      return i;
  return -1;
}

static gboolean
find_columns (char **header, Columns *columns)
{
  *columns = (Columns){
    .kind = find_column (header, "kind"),
    .name = find_column (header, "name"),
    .customer = find_column (header, "customer"),
    .sha256 = find_column (header, "sha256"),
    .rate = find_column (header, "rate_per_s"),
    .burst = find_column (header, "burst"),
    .date = find_column (header, "date"),
  };
  return columns->kind >= 0 && columns->name >= 0 && columns->customer >= 0
         && columns->sha256 >= 0 && columns->rate >= 0 && columns->burst >= 0
         && columns->date >= 0;
}

static void
set_cell (char **cells, int index, char *value)
{
  g_free (cells[index]);
  cells[index] = value;
}

static void
replace_key (char **cells, const Columns *columns, GPtrArray *customers)
{
  char *key = g_strdup_printf ("demo-%s", cells[columns->name]);

  set_cell (cells, columns->sha256,
            g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1));
  for (guint i = 0; i < customers->len; i++)
    {
      DeCustomer *customer = g_ptr_array_index (customers, i);
      if (strcmp (customer->name, cells[columns->customer]) == 0
          && customer->key == NULL)
        customer->key = g_steal_pointer (&key);
    }
  g_free (key);
}

static void
update_row (char **cells, const Columns *columns, GPtrArray *customers)
{
  const char *kind = cells[columns->kind];

  if (strcmp (kind, "sheet") == 0)
    {
      g_autoptr (GDateTime) now = g_date_time_new_now_local ();
      set_cell (cells, columns->date, g_date_time_format (now, "%Y-%m-%d"));
    }
  else if (strcmp (kind, "customer") == 0)
    {
      DeCustomer *customer = g_new0 (DeCustomer, 1);
      customer->name = g_strdup (cells[columns->name]);
      customer->rate_per_s
          = (uint32_t)g_ascii_strtoull (cells[columns->rate], NULL, 10);
      customer->burst
          = (uint32_t)g_ascii_strtoull (cells[columns->burst], NULL, 10);
      g_ptr_array_add (customers, customer);
    }
  else if (strcmp (kind, "key") == 0)
    replace_key (cells, columns, customers);
}

GPtrArray *
de_prepare_sheet (const char *from_path, const char *to_path, GError **error)
{
  g_autoptr (GPtrArray) customers
      = g_ptr_array_new_with_free_func (customer_free);
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  g_autoptr (GString) out = g_string_new (NULL);
  Columns columns;

  if (!g_file_get_contents (from_path, &text, NULL, error))
    return NULL;
  lines = g_strsplit (g_strstrip (text), "\n", -1);
  for (int i = 0; lines[i] != NULL; i++)
    {
      /* The example sheets have no quoted cells.  */
      g_auto (GStrv) cells = g_strsplit (lines[i], ",", -1);
      g_autofree char *joined = NULL;

      if (i == 0 && !find_columns (cells, &columns))
        {
          g_set_error (error, SI_ERROR, SI_ERROR_FILE,
                       "%s lacks a column that the demo needs", from_path);
          return NULL;
        }
      if (i > 0)
        update_row (cells, &columns, customers);
      joined = g_strjoinv (",", cells);
      g_string_append_printf (out, "%s\n", joined);
    }
  if (!g_file_set_contents (to_path, out->str, (gssize)out->len, error))
    return NULL;
  return g_steal_pointer (&customers);
}
