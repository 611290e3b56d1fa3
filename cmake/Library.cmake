# redwing_library(NAME [DEPENDS lib...] [PRIVATE lib...])
#
# Builds a static library from every .cpp file in the calling directory and adds src/ to the include
# path, so that headers are included as "library/Header.hpp".
function(redwing_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_library(redwing_${name} STATIC ${sources})
  target_include_directories(redwing_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
  list(TRANSFORM ARG_DEPENDS PREPEND redwing_ OUTPUT_VARIABLE deps)
  target_link_libraries(redwing_${name} PUBLIC ${deps} PRIVATE ${ARG_PRIVATE})
endfunction()

# redwing_unit_test(NAME DEPENDS lib...)
#
# Builds one Boost.Test program from every .cpp file in the calling directory and registers it.
function(redwing_unit_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(test_${name} ${sources} ${CMAKE_SOURCE_DIR}/tests/UnitTestMain.cpp)
  list(TRANSFORM ARG_DEPENDS PREPEND redwing_ OUTPUT_VARIABLE deps)
  target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_compile_definitions(test_${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(test_${name} PRIVATE ${deps} Boost::unit_test_framework)
  add_test(NAME unit.${name} COMMAND test_${name})
  set_tests_properties(unit.${name} PROPERTIES TIMEOUT 300 LABELS unit)
endfunction()
