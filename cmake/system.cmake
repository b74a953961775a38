# The whole system: its packages, each a library of its own, and its programs pilot and lighthouse.
find_package(Boost 1.81 REQUIRED COMPONENTS log json program_options)
find_package(CapnProto REQUIRED)
find_package(gflags REQUIRED)
find_library(LEVELDB_LIBRARY leveldb REQUIRED)

# All headers that are generated: what a tool needs beside the sources to read them, without a build.
add_custom_target(generated_sources COMMENT "Generated all headers")

# Has headers (the further arguments) generated before a target is compiled, and by generated_sources too,
# which waits for none of the target's libraries.
function(generated_headers target)
  add_custom_target(${target}_headers DEPENDS ${ARGN} COMMENT "Generated the headers of ${target}")
  add_dependencies(${target} ${target}_headers)
  add_dependencies(generated_sources ${target}_headers)
endfunction()

# Makes a library's sources from its schema; what is generated is not ours to mend, so it is compiled without
# warnings. Included as "signal/mail.capnp.h".
function(system_schema target file)
  set(CAPNPC_SRC_PREFIX ${PROJECT_SOURCE_DIR}/src)
  set(CAPNPC_OUTPUT_DIR ${CMAKE_BINARY_DIR}/generated)
  capnp_generate_cpp(sources headers ${file})
  set_source_files_properties(${sources} PROPERTIES COMPILE_OPTIONS -w)
  target_sources(${target} PRIVATE ${sources} ${headers})
  generated_headers(${target} ${headers})
  target_include_directories(${target} SYSTEM PUBLIC ${CMAKE_BINARY_DIR}/generated)
  target_link_libraries(${target} PUBLIC CapnProto::capnp)
endfunction()

set(SHALETRAY_PACKAGES station chart lamp convoy muster tide signal helm channel pilot lighthouse)
file(MAKE_DIRECTORY ${CMAKE_BINARY_DIR}/generated)
foreach(package ${SHALETRAY_PACKAGES})
  if(EXISTS ${PROJECT_SOURCE_DIR}/src/${package}/CMakeLists.txt)
    add_subdirectory(${PROJECT_SOURCE_DIR}/src/${package} ${CMAKE_BINARY_DIR}/system/${package})
  endif()
endforeach()
