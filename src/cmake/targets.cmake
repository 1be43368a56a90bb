# Helpers for the folders under src/.

# A tool: an executable of the folder's sources on the service library.
function(mangocourse_add_tool name)
    add_executable(${name} ${ARGN})
    target_link_libraries(${name} PRIVATE mangoservice)
    target_precompile_headers(${name} REUSE_FROM mangoservice)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    install(TARGETS ${name} RUNTIME DESTINATION bin)
endfunction()
