# Declares one small library of the workspace. Every .cpp file of the calling
# folder belongs to it, so that a new class needs no change to the build.
function(turmericpass_library Name)
  cmake_parse_arguments(Arg "" "" "PUBLIC;PRIVATE" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(Sources)
    add_library(${Name} STATIC ${Sources})
    target_include_directories(${Name} PUBLIC ${PROJECT_SOURCE_DIR}/Source)
    target_link_libraries(${Name} PUBLIC ${Arg_PUBLIC} PRIVATE ${Arg_PRIVATE})
  else()
    add_library(${Name} INTERFACE)
    target_include_directories(${Name} INTERFACE ${PROJECT_SOURCE_DIR}/Source)
    target_link_libraries(${Name} INTERFACE ${Arg_PUBLIC} ${Arg_PRIVATE})
  endif()
endfunction()

# Declares one Criterion test program from every .cpp file of the calling
# folder. The seed of rapidcheck is fixed unless RC_PARAMS is set by hand, so
# that every run gives the same verdict.
function(turmericpass_test Name)
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${Name} ${Sources})
  target_include_directories(${Name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
  target_link_libraries(${Name} PRIVATE ${ARGN} PkgConfig::Criterion rapidcheck)
  target_compile_definitions(${Name} PRIVATE
    TURMERICPASS_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}")
  add_test(NAME ${Name} COMMAND ${Name} --jobs 2)
  set_tests_properties(${Name} PROPERTIES TIMEOUT 300)
  if(NOT DEFINED ENV{RC_PARAMS})
    set_tests_properties(${Name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()
