# Settings that every package of the workspace shares.
include_guard(GLOBAL)

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo CACHE STRING "Build type" FORCE)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # Paths below the tree count as relative, so that another clone of the same
  # sources finds what this one compiled.
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}
      CCACHE_NOHASHDIR=true ${CCACHE_PROGRAM})
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(fmt REQUIRED)
find_package(Poco REQUIRED COMPONENTS Foundation Net JSON Util)

set(BASILSPREAD_WARNINGS -Wall -Wextra -Wpedantic -Werror
    # GCC 12 reports false positives inside std::variant and std::string.
    -Wno-restrict -Wno-maybe-uninitialized)

# One main for the tests of all packages: Catch2 is slow to compile.
function(basilspread_test name)
  add_executable(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE basilspread_test_main)
  target_compile_options(${name} PRIVATE ${BASILSPREAD_WARNINGS})
  if(NOT BASILSPREAD_TESTS)
    set_target_properties(${name} PROPERTIES EXCLUDE_FROM_ALL TRUE)
    return()
  endif()
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

if(NOT TARGET basilspread_test_main)
  add_library(basilspread_test_main STATIC
              ${CMAKE_CURRENT_LIST_DIR}/test_main.cc)
endif()

# A static library of the workspace with its public headers and warnings.
function(basilspread_library name)
  add_library(${name} STATIC ${ARGN})
  target_include_directories(
    ${name}
    PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_compile_options(${name} PRIVATE ${BASILSPREAD_WARNINGS})
endfunction()
