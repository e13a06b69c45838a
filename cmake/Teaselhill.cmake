# teaselhill_part(name [PLUGIN] [USES part...] [LIBS library...])
# Defines library teaselhill_<name> from lib/<name>/ and, with TEASELHILL_TESTS,
# its test binary from unittests/<name>/. A PLUGIN part is linked whole, because its objects are
# reached only through their static registrations.
function(teaselhill_part name)
  teaselhill_library(${name} lib/${name} ${ARGN})
endfunction()

# teaselhill_adapter(name ...) takes the same arguments for the sources of the
# folder `name` at the root.
function(teaselhill_adapter name)
  teaselhill_library(${name} ${name} ${ARGN})
  target_include_directories(teaselhill_${name} PUBLIC ${CMAKE_SOURCE_DIR})
endfunction()

function(teaselhill_library name folder)
  cmake_parse_arguments(PART "PLUGIN" "" "USES;LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.cc)
  set(scope PUBLIC)
  if(sources)
    add_library(teaselhill_${name} STATIC ${sources})
  else()
    set(scope INTERFACE)  # a part of templates only
    add_library(teaselhill_${name} INTERFACE)
  endif()
  target_include_directories(teaselhill_${name} ${scope}
                             ${CMAKE_SOURCE_DIR}/include)
  set_property(GLOBAL PROPERTY teaselhill_plugin_${name} ${PART_PLUGIN})
  foreach(used ${PART_USES})
    teaselhill_link(teaselhill_${name} ${scope} ${used})
  endforeach()
  target_link_libraries(teaselhill_${name} ${scope} ${PART_LIBS})

  if(NOT TEASELHILL_TESTS)
    return()
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/unittests/${name}/*.cc)
  if(NOT tests)
    return()
  endif()
  add_executable(${name}_tests ${tests} ${CMAKE_SOURCE_DIR}/unittests/main.cc)
  teaselhill_link(${name}_tests PRIVATE ${name})
  target_link_libraries(${name}_tests PRIVATE rapidcheck)
  target_compile_definitions(${name}_tests PRIVATE
    TEASELHILL_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${name}_tests COMMAND ${name}_tests)
  set_tests_properties(${name}_tests PROPERTIES TIMEOUT 240)
endfunction()

# Links part `used` into `target`, whole when it holds plug-ins.
function(teaselhill_link target scope used)
  if(NOT TARGET teaselhill_${used})
    return()
  endif()
  get_property(plugin GLOBAL PROPERTY teaselhill_plugin_${used})
  if(plugin)
    target_link_libraries(${target} ${scope}
      $<LINK_LIBRARY:WHOLE_ARCHIVE,teaselhill_${used}>)
  else()
    target_link_libraries(${target} ${scope} teaselhill_${used})
  endif()
endfunction()

# teaselhill_tool(name USES part...)
# Defines the binary `name` from the sources of the current directory.
function(teaselhill_tool name)
  cmake_parse_arguments(TOOL "" "" "USES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name} ${sources})
  foreach(used ${TOOL_USES})
    teaselhill_link(${name} PRIVATE ${used})
  endforeach()
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
