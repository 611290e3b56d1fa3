# Installs the programs, the service unit, a sample environment file, completion and pages.

include(GNUInstallDirs)
install(TARGETS redwingd redwingctl RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})

configure_file(packaging/redwingd.service redwingd.service @ONLY)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/redwingd.service DESTINATION lib/systemd/system)
install(FILES packaging/redwingd.env DESTINATION ${CMAKE_INSTALL_DATADIR}/redwingstack)
install(DIRECTORY examples DESTINATION ${CMAKE_INSTALL_DATADIR}/redwingstack)

set(completion ${CMAKE_CURRENT_BINARY_DIR}/completion/redwingctl)
add_custom_command(
  OUTPUT ${completion}
  COMMAND ${CMAKE_COMMAND} -E make_directory ${CMAKE_CURRENT_BINARY_DIR}/completion
  COMMAND redwingctl completion bash > ${completion}
  DEPENDS redwingctl
  VERBATIM)
add_custom_target(completion ALL DEPENDS ${completion})
install(FILES ${completion} DESTINATION ${CMAKE_INSTALL_DATADIR}/bash-completion/completions)

install(FILES README.md DESTINATION ${CMAKE_INSTALL_DOCDIR})
install(DIRECTORY docs/ DESTINATION ${CMAKE_INSTALL_DOCDIR}/docs FILES_MATCHING PATTERN "*.md")
