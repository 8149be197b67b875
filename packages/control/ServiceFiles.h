#pragma once

#include "ServiceConfig.h"

namespace bilberryfield {

/** A mistake in a service file, with the file that it stands in. */
struct FileMistake
{
  std::string m_file;
  ValidationError m_mistake;
};

/** The services in files, and every mistake found in any of them. */
struct ServiceFiles
{
  std::vector<ServiceConfig> m_services;
  std::vector<FileMistake> m_mistakes;
};

/** Reads service files; two files for one service are a mistake. */
ServiceFiles
ReadServiceFiles(const std::vector<std::string>& aPaths);

/** Paths of the .json files in a folder, sorted. */
Result<std::vector<std::string>>
ListServiceFiles(const std::string& aFolder);

} // namespace bilberryfield
