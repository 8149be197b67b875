#pragma once

#include <cstdlib>
#include <string>

namespace bilberryfield {

/** Folder of the built programs that the process tests start. */
inline std::string
BuildFolder()
{
  const char* build = std::getenv("BILBERRY_BUILD");
  return build ? build : "build";
}

} // namespace bilberryfield
