# sources.cmake - which sources a binary is built from
#
# SYNOPSIS
#   include (cmake/sources.cmake)
#   cw_hash_sources (id ROOT ${CMAKE_SOURCE_DIR} DIRS ${cw_product_dirs})
#
# DESCRIPTION
#   The id is a hash of contents, so it needs no version control and is the same
#   in each copy of a tree.  tools/sources-id prints that of any commit.

# Directories of what ships, and of what only tests and measures.  The order
# does not matter, since libraries are linked by target name.
set (cw_product_dirs
     wire event memory metric clock settings conf sheet prefix place plan steer
     slot fair quota lease assign member http key order store peer front backend
     admin route notice quarantine targets admit occupancy limit fleet gossip
     trace platform stop question entry release daemon client)
set (cw_test_dirs standin proof bench demo soak emulator days docs)

# Hexadecimal digits of an id.
set (CW_ID_DIGITS 16)

# Sets OUT to the sources below ROOT, as relative paths in a fixed order.
function (cw_list_sources out root)
  set (patterns "${root}/CMakeLists.txt" "${root}/cmake/*.cmake")
  foreach (dir ${ARGN})
    foreach (name *.c *.h *.cc CMakeLists.txt)
      list (APPEND patterns "${root}/${dir}/${name}")
    endforeach ()
  endforeach ()
  file (GLOB sources RELATIVE "${root}" ${patterns})
  list (SORT sources)
  set (${out} ${sources} PARENT_SCOPE)
endfunction ()

# Sets OUT to the id of the sources of DIRS below ROOT.  Test programs do not
# count, as they are not in the binary.
function (cw_hash_sources out)
  cmake_parse_arguments (ARG "" "ROOT" "DIRS" ${ARGN})
  cw_list_sources (sources "${ARG_ROOT}" ${ARG_DIRS})
  list (FILTER sources EXCLUDE REGEX "\\.cc$")
  set (lines "")
  foreach (source ${sources})
    file (SHA256 "${ARG_ROOT}/${source}" hash)
    string (APPEND lines "${hash} ${source}\n")
  endforeach ()
  string (SHA256 id "${lines}")
  string (SUBSTRING ${id} 0 ${CW_ID_DIGITS} id)
  set (${out} ${id} PARENT_SCOPE)
endfunction ()
