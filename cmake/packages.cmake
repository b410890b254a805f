# Functions for the CMakeLists.txt of each directory.
#
# cw_library (NAME SOURCES a.c b.c LIBS x y)
#   Static library cw-NAME; its headers are included as "DIRECTORY/a.h".
# cw_program (NAME SOURCES a.c LIBS x y)
#   Executable NAME.
# cw_test (NAME SOURCES a_test.cc LIBS x y)
#   GoogleTest program NAME, one ctest entry; nothing without CW_TESTS.

function (cw_library name)
  cmake_parse_arguments (ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_library (cw-${name} STATIC ${ARG_SOURCES})
  target_include_directories (cw-${name} PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries (cw-${name} PUBLIC PkgConfig::GLIB ${ARG_LIBS})
endfunction ()

function (cw_program name)
  cmake_parse_arguments (ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_executable (${name} ${ARG_SOURCES})
  target_include_directories (${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries (${name} PRIVATE PkgConfig::GLIB ${ARG_LIBS})
endfunction ()

function (cw_test name)
  if (NOT CW_TESTS)
    return ()
  endif ()
  cmake_parse_arguments (ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_executable (${name} ${ARG_SOURCES})
  target_include_directories (${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries (${name} PRIVATE PkgConfig::GLIB ${ARG_LIBS}
                         GTest::gtest GTest::gtest_main)
  add_test (NAME ${name} COMMAND ${name})
  set_tests_properties (${name} PROPERTIES TIMEOUT 240)
endfunction ()
