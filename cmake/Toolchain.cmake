# Compiler cache, warnings and sanitizers that apply to every target.

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # The base directory makes cache hits independent of where the checkout lies; the sloppiness
  # settings are what ccache asks for when precompiled headers are used.
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1
      CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
      ${CCACHE_PROGRAM})
endif()

set(REDWING_SANITIZE "" CACHE STRING "Comma-separated list of sanitizers")
add_compile_options(-Wall -Wextra -Wno-psabi)
add_compile_options(-fno-strict-aliasing)
if(REDWING_SANITIZE)
  add_compile_options(-fsanitize=${REDWING_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${REDWING_SANITIZE})
endif()
if(REDWING_SANITIZE STREQUAL "thread")
  # GCC 12 warns about atomic_thread_fence inside Boost headers under -fsanitize=thread.
  add_compile_options(-Wno-tsan)
endif()
