# Prints the id of the sources below ROOT: cmake -DROOT=DIRECTORY -P THIS_FILE
# ROOT has its own list of directories, which may differ from this one's.
include ("${ROOT}/cmake/sources.cmake")
cw_hash_sources (id ROOT "${ROOT}" DIRS ${cw_product_dirs})
execute_process (COMMAND "${CMAKE_COMMAND}" -E echo "${id}")
