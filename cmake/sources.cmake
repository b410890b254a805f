# sources.cmake - which sources a binary is built from
#
# SYNOPSIS
#   include (cmake/sources.cmake)
#   cw_hash_sources (id ROOT ${CMAKE_SOURCE_DIR} DIRS ${cw_product_dirs})
#   cw_describe_tools (tools CW_SANITIZE)
#   cw_drop_stale_outputs (TOOLS ${tools} DIRS ${cw_product_dirs})
#
# DESCRIPTION
#   Build tools compare times only, so objects that are newer than sources of
#   another commit count as up to date: in a build directory that came with a
#   copy of the tree, for example.  cw_drop_stale_outputs compares contents with
#   those of the configuration before and removes such outputs, with all else in
#   the build folders of DIRS.
#
#   The id is a hash of contents, so it needs no version control and is the same
#   in each copy of a tree.  tools/sources-id prints that of any commit.
#
# FILES
#   sources.manifest in the build directory: tools, then each source with its
#   hash and time, as of the last configuration.

# Directories of what ships, and of what only tests and measures.  The order
# does not matter, since libraries are linked by target name.
set (cw_product_dirs
     wire event era memory metric clock settings conf sheet prefix place plan steer
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

# Sets OUT to the manifest, one element a line.
function (cw_make_manifest out tools)
  cw_list_sources (sources "${CMAKE_SOURCE_DIR}" ${ARGN})
  set (lines "${tools} tools")
  foreach (source ${sources})
    file (SHA256 "${CMAKE_SOURCE_DIR}/${source}" hash)
    file (TIMESTAMP "${CMAKE_SOURCE_DIR}/${source}" time "%s.%f" UTC)
    list (APPEND lines "${hash} ${time} ${source}")
  endforeach ()
  set (${out} ${lines} PARENT_SCOPE)
endfunction ()

# Sets OUT to the objects, archives and programs of DIRS.  Names of programs
# have no dot.
function (cw_list_outputs out)
  set (outputs "")
  foreach (dir ${ARGN})
    file (GLOB_RECURSE objects "${CMAKE_BINARY_DIR}/${dir}/*.o"
          "${CMAKE_BINARY_DIR}/${dir}/*.a")
    file (GLOB programs LIST_DIRECTORIES FALSE "${CMAKE_BINARY_DIR}/${dir}/*")
    list (FILTER programs EXCLUDE REGEX "/[^/]*\\.[^/]*$")
    list (FILTER programs EXCLUDE REGEX "/Makefile$")
    list (APPEND outputs ${objects} ${programs})
  endforeach ()
  set (${out} ${outputs} PARENT_SCOPE)
endfunction ()

# Sets OUT to a source that has changed, that is whose line in MANIFEST is not
# among those RECORDED, and that build tools would take for unchanged since it is
# not newer than each of OUTPUTS; or to "".
function (cw_find_hidden_change out manifest recorded outputs)
  set (${out} "" PARENT_SCOPE)
  foreach (line ${manifest})
    if (line IN_LIST recorded)
      continue ()
    endif ()
    string (REGEX REPLACE "^[^ ]+ [^ ]+ " "" source "${line}")
    foreach (output ${outputs})
      # True for equal times, too.
      if ("${output}" IS_NEWER_THAN "${CMAKE_SOURCE_DIR}/${source}")
        set (${out} "${source}" PARENT_SCOPE)
        return ()
      endif ()
    endforeach ()
  endforeach ()
endfunction ()

# Sets OUT to why OUTPUTS cannot be used, or to "".
function (cw_find_staleness out manifest recorded outputs)
  list (GET manifest 0 tools)
  if (outputs STREQUAL "")
    set (reason "")
  elseif (recorded STREQUAL "")
    set (reason "their sources are not recorded")
  elseif (NOT tools IN_LIST recorded)
    set (reason "tools, settings or folder differ")
  else ()
    cw_find_hidden_change (source "${manifest}" "${recorded}" "${outputs}")
    set (reason "")
    if (NOT source STREQUAL "")
      set (reason "${source} differs, but is not newer")
    endif ()
  endif ()
  set (${out} "${reason}" PARENT_SCOPE)
endfunction ()

# Removes all outputs of DIRS unless they were built with TOOLS, and each source
# that has changed since is newer than all of them.
function (cw_drop_stale_outputs)
  cmake_parse_arguments (ARG "" "TOOLS" "DIRS" ${ARGN})
  set (manifest_file "${CMAKE_BINARY_DIR}/sources.manifest")
  set (recorded "")
  if (EXISTS "${manifest_file}")
    file (STRINGS "${manifest_file}" recorded)
  endif ()
  cw_make_manifest (manifest "${ARG_TOOLS}" ${ARG_DIRS})
  cw_list_outputs (outputs ${ARG_DIRS})
  cw_find_staleness (reason "${manifest}" "${recorded}" "${outputs}")
  if (NOT reason STREQUAL "")
    message (STATUS "Removing what was built before: ${reason}")
    foreach (dir ${ARG_DIRS})
      file (REMOVE_RECURSE "${CMAKE_BINARY_DIR}/${dir}")
    endforeach ()
  endif ()
  list (JOIN manifest "\n" text)
  file (WRITE "${manifest_file}" "${text}\n")
  # Configures again, and so updates the id, when a source gets a newer time.
  cw_list_sources (sources "${CMAKE_SOURCE_DIR}" ${ARG_DIRS})
  set_property (DIRECTORY "${CMAKE_SOURCE_DIR}" APPEND PROPERTY
                CMAKE_CONFIGURE_DEPENDS ${sources})
endfunction ()

# Sets OUT to a hash of what decides on objects besides the sources; further
# arguments are names of settings.  Asks the machine and the compilers, as the
# cache may be that of others.
function (cw_describe_tools out)
  cmake_host_system_information (RESULT machine QUERY OS_PLATFORM)
  if (NOT machine STREQUAL CMAKE_HOST_SYSTEM_PROCESSOR)
    message (FATAL_ERROR
             "${CMAKE_BINARY_DIR} was configured on ${CMAKE_HOST_SYSTEM_PROCESSOR}, "
             "this machine is ${machine}; run cmake with --fresh")
  endif ()
  set (text "${machine}|${CMAKE_SOURCE_DIR}|${CMAKE_VERSION}|${CMAKE_GENERATOR}")
  foreach (compiler "${CMAKE_C_COMPILER}" "${CMAKE_CXX_COMPILER}")
    if (NOT compiler STREQUAL "")
      execute_process (COMMAND "${compiler}" --version OUTPUT_VARIABLE version
                       COMMAND_ERROR_IS_FATAL ANY)
      string (APPEND text "|${compiler} ${version}")
    endif ()
  endforeach ()
  foreach (setting CMAKE_BUILD_TYPE CMAKE_C_FLAGS CMAKE_CXX_FLAGS
           CMAKE_EXE_LINKER_FLAGS ${ARGN})
    string (APPEND text "|${setting}=${${setting}}")
  endforeach ()
  string (SHA256 hash "${text}")
  set (${out} ${hash} PARENT_SCOPE)
endfunction ()
