# jujubevalve_module(name [DEPS target...]) builds modules/<name>/*.cpp and gen/*.cpp as a static
# library jujubevalve_<name>, and modules/<name>/tests/*.cpp as the CppUTest program <name>_tests.
function(jujubevalve_module name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  file(GLOB generated CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/gen/*.cpp)
  add_library(jujubevalve_${name} STATIC ${sources} ${generated})
  target_include_directories(jujubevalve_${name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
  target_link_libraries(jujubevalve_${name} PUBLIC ${ARG_DEPS} Threads::Threads)
  target_compile_options(jujubevalve_${name} PRIVATE -Wall -Wextra -Werror
                         -Wno-missing-field-initializers)
  set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS "-w")
  jujubevalve_tests(${name}_tests ${CMAKE_CURRENT_SOURCE_DIR}/tests jujubevalve_${name})
endfunction()

# jujubevalve_tests(name dir deps...) builds dir/*.cpp as one CppUTest program and adds it to ctest,
# without its tests that KNOWN-RED.txt lists.
function(jujubevalve_tests name dir)
  file(GLOB test_sources CONFIGURE_DEPENDS ${dir}/*.cpp)
  if(NOT test_sources OR JUJUBEVALVE_GATEWAY_ONLY)
    return()
  endif()
  add_executable(${name} ${test_sources} ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp)
  target_link_libraries(${name} PRIVATE ${ARGN} PkgConfig::cpputest)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Werror
                         -Wno-missing-field-initializers)
  target_compile_definitions(${name}
                             PRIVATE JUJUBEVALVE_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  jujubevalve_known_red(${name} skipped)
  add_test(NAME ${name} COMMAND ${name} -c ${skipped})
  # Ends a test that hangs; the longest takes 80 s on an idle machine and twice that on a busy one.
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# jujubevalve_known_red(program out) gives the arguments that leave out the program's tests listed in
# KNOWN-RED.txt as "<program>, TEST(<group>, <name>)". scripts/check runs and prints them.
function(jujubevalve_known_red program out)
  set(arguments "")
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
  if(EXISTS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
    file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt entries REGEX "^${program}, TEST")
    foreach(entry ${entries})
      string(REGEX REPLACE ".*TEST\\(([a-z_]+), ([a-z_0-9]+)\\).*" "\\1.\\2" test "${entry}")
      list(APPEND arguments --leave-out=${test})
    endforeach()
  endif()
  set(${out} ${arguments} PARENT_SCOPE)
endfunction()

# jujubevalve_app(name deps...) builds the *.cpp of the current folder as the program <name>.
function(jujubevalve_app name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
  target_compile_options(${name} PRIVATE -Wall -Wextra -Werror
                         -Wno-missing-field-initializers)
endfunction()
