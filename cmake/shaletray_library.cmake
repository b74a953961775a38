# Functions that declare the project's libraries, programs and generated headers.

# Builds all generated headers, which tools need to parse the sources without a full build.
add_custom_target(generated_sources COMMENT "Generated all headers")

# generated_headers(TARGET HEADERS...): generates the headers before the target is compiled, and as part of
# generated_sources, which does not wait for the target's libraries.
function(generated_headers target)
  add_custom_target(${target}_headers DEPENDS ${ARGN} COMMENT "Generated the headers of ${target}")
  add_dependencies(${target} ${target}_headers)
  add_dependencies(generated_sources ${target}_headers)
endfunction()

# shaletray_library(NAME SOURCES... [SCHEMA FILE.capnp] [PUBLIC LIBRARIES...] [PRIVATE LIBRARIES...]): the static
# library shaletray_NAME of this folder's sources. A schema's header is included by its path below src, as
# "cluster/quota/quota.capnp.h"; generated code is compiled without warnings.
function(shaletray_library name)
  cmake_parse_arguments(ARG "" "SCHEMA" "SOURCES;PUBLIC;PRIVATE" ${ARGN})
  set(target shaletray_${name})
  add_library(${target} STATIC ${ARG_SOURCES})
  target_include_directories(
    ${target}
    PUBLIC ${PROJECT_SOURCE_DIR}/src
    PRIVATE ${XXHASH_INCLUDE})
  target_link_libraries(
    ${target}
    PUBLIC shaletray_decision ${ARG_PUBLIC}
    PRIVATE ${ARG_PRIVATE})
  if(ARG_SCHEMA)
    set(CAPNPC_SRC_PREFIX ${PROJECT_SOURCE_DIR}/src)
    set(CAPNPC_OUTPUT_DIR ${PROJECT_BINARY_DIR}/generated)
    file(MAKE_DIRECTORY ${CAPNPC_OUTPUT_DIR})
    capnp_generate_cpp(sources headers ${CMAKE_CURRENT_SOURCE_DIR}/${ARG_SCHEMA})
    set_source_files_properties(${sources} PROPERTIES COMPILE_OPTIONS -w)
    target_sources(${target} PRIVATE ${sources} ${headers})
    generated_headers(${target} ${headers})
    target_include_directories(${target} SYSTEM PUBLIC ${PROJECT_BINARY_DIR}/generated)
    target_link_libraries(${target} PUBLIC CapnProto::capnp)
  endif()
endfunction()

# shaletray_program(NAME SOURCE LIBRARIES...): an executable beside the others in the build folder.
function(shaletray_program name source)
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR})
endfunction()
