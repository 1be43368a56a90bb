# Warnings, the compiler cache and the sanitizers: -DMANGOCOURSE_SANITIZE=address,undefined or thread.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    # What ccache needs to work with precompiled headers.
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env CCACHE_SLOPPINESS=pch_defines,time_macros ${CCACHE_PROGRAM})
    add_compile_options(-fpch-preprocess)
endif()

add_compile_options(-Wall -Wextra -Wno-psabi)
set(MANGOCOURSE_SANITIZE "" CACHE STRING "Sanitizers to build with")
if(MANGOCOURSE_SANITIZE)
    add_compile_options(-fsanitize=${MANGOCOURSE_SANITIZE} -fno-omit-frame-pointer -O1)
    add_link_options(-fsanitize=${MANGOCOURSE_SANITIZE})
endif()
