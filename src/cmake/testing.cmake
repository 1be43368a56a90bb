# Test helpers: unit tests of a folder, and the cases of testsuite/.

# A GoogleTest program of the given sources and libraries.
function(mangocourse_add_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES} GTest::gtest_main)
    add_test(NAME ${name} COMMAND ${name})
    # Seeds are fixed, so that a verdict is the same at every run.
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=300 max_size=80")
endfunction()

# Each folder of testsuite/ is a test of its own.
function(mangocourse_add_cases)
    file(GLOB cases CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/testsuite/*)
    set(updates "")
    foreach(case ${cases})
        get_filename_component(name ${case} NAME)
        add_test(NAME case-${name} COMMAND ${CMAKE_COMMAND} -DCASE=${case} -DBIN=${CMAKE_BINARY_DIR}/bin -P ${CMAKE_SOURCE_DIR}/src/cmake/runcase.cmake)
        set_tests_properties(case-${name} PROPERTIES TIMEOUT 60)
        list(APPEND updates COMMAND ${CMAKE_COMMAND} -DCASE=${case} -DBIN=${CMAKE_BINARY_DIR}/bin -DUPDATE=1 -P ${CMAKE_SOURCE_DIR}/src/cmake/runcase.cmake)
    endforeach()
    # Writes the golden files anew; read the difference before it is committed.
    add_custom_target(update-references ${updates} DEPENDS mangoscript mangoctl mangocourse-gate)
endfunction()
