# Runs one case of testsuite/ and compares its session with ref/out.txt.
# -DCASE=folder -DBIN=folder of the programs [-DUPDATE=1 writes the reference anew]
if(EXISTS ${CASE}/command)
    file(READ ${CASE}/command line)
    string(STRIP "${line}" line)
    separate_arguments(words UNIX_COMMAND "${line}")
    list(POP_FRONT words program)
    execute_process(COMMAND ${BIN}/${program} ${words} WORKING_DIRECTORY ${CASE}
        OUTPUT_VARIABLE session ERROR_VARIABLE session RESULT_VARIABLE code)
    string(APPEND session "exit code ${code}\n")
else()
    execute_process(COMMAND ${BIN}/mangoscript input.scn WORKING_DIRECTORY ${CASE}
        OUTPUT_VARIABLE session ERROR_VARIABLE session RESULT_VARIABLE code)
    if(NOT code EQUAL 0)
        message(FATAL_ERROR "the scenario does not hold:\n${session}")
    endif()
endif()

if(UPDATE)
    file(WRITE ${CASE}/ref/out.txt "${session}")
    return()
endif()
file(READ ${CASE}/ref/out.txt reference)
if(NOT session STREQUAL reference)
    message(FATAL_ERROR "the session differs from ${CASE}/ref/out.txt:\n${session}")
endif()
