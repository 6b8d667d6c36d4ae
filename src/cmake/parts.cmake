# A part is one folder of the library. Its sources are found by a glob pattern, so a new file needs no edit of a
# CMake list.

# peridot_test(NAME PART SOURCES...): the test program NAME_test, registered with ctest under NAME.
function(peridot_test name part)
  add_executable(${name}_test ${ARGN} "${CMAKE_SOURCE_DIR}/src/cmake/test_main.cpp")
  target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name}_test PRIVATE peridot_${part} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# peridot_part(NAME DIR [LINK targets...]): the static library peridot_NAME from DIR/*.cpp, and the
# test program NAME_test from DIR/*_test.cpp, registered with ctest under that name. A load
# simulation FILE_load_test.cpp is the test program NAME_FILE_load_test of its own, since each takes a minute or
# more under a sanitizer; engine_load_test.cpp beside engine_load.cpp has unit tests and is none.
function(peridot_part name dir)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${dir}/*.cpp")
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  if(sources)
    add_library(peridot_${name} STATIC ${sources})
    target_link_libraries(peridot_${name} PUBLIC peridot_options ${ARG_LINK})
  else()
    add_library(peridot_${name} INTERFACE)
    target_link_libraries(peridot_${name} INTERFACE peridot_options ${ARG_LINK})
  endif()
  if(tests AND NOT PERIDOT_FUZZ)
    foreach(test ${tests})
      string(REGEX REPLACE "_test\\.cpp$" ".cpp" tested "${test}")
      if(test MATCHES "_load_test\\.cpp$" AND NOT tested IN_LIST sources)
        get_filename_component(load "${tested}" NAME_WE)
        list(REMOVE_ITEM tests "${test}")
        peridot_test(${name}_${load} ${name} "${test}")
      endif()
    endforeach()
    if(tests)
      peridot_test(${name} ${name} ${tests})
    endif()
  endif()
endfunction()

# peridot_program(NAME DIR [LINK targets...]): the executable NAME from every DIR/*.cpp.
function(peridot_program name dir)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${dir}/*.cpp")
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  if(sources)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE peridot_options ${ARG_LINK})
  endif()
endfunction()
