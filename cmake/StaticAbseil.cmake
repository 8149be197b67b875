# Debian's package brings Abseil as some thirty small shared libraries, which
# take most of a daemon's start to load. Its archives are linked instead.
get_property(imported DIRECTORY PROPERTY IMPORTED_TARGETS)
foreach(target IN LISTS imported)
  get_target_property(shared ${target} IMPORTED_LOCATION_NONE)
  if(target MATCHES "^absl::" AND shared)
    string(REGEX REPLACE "\\.so\\..*$" ".a" archive "${shared}")
    if(EXISTS "${archive}")
      set_target_properties(${target} PROPERTIES IMPORTED_LOCATION_NONE "${archive}")
    endif()
  endif()
endforeach()
