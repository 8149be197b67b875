#include "ServiceFiles.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>

namespace bilberryfield {

namespace {

tl::expected<nlohmann::json, ValidationError>
ReadJson(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return tl::unexpected(ValidationError{ "", "nothing", "a readable file" });
  }
  try {
    return nlohmann::json::parse(file);
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(ValidationError{ "", error.what(), "JSON" });
  }
}

} // namespace

ServiceFiles
ReadServiceFiles(const std::vector<std::string>& aPaths)
{
  ServiceFiles files;
  std::map<std::string, std::string> fileByService;
  for (const std::string& path : aPaths) {
    auto document = ReadJson(path);
    if (!document) {
      files.m_mistakes.push_back({ path, document.error() });
      continue;
    }
    ServiceParse parsed = ParseServiceConfig(*document);
    if (!parsed) {
      for (ValidationError& mistake : parsed.error()) {
        files.m_mistakes.push_back({ path, std::move(mistake) });
      }
      continue;
    }
    auto [place, isNew] = fileByService.emplace(parsed->m_name, path);
    if (!isNew) {
      files.m_mistakes.push_back(
        { path,
          { "/service",
            "\"" + parsed->m_name + "\", also in " + place->second,
            "one file for each service" } });
    }
    files.m_services.push_back(std::move(*parsed));
  }
  return files;
}

Result<std::vector<std::string>>
ListServiceFiles(const std::string& aFolder)
{
  std::error_code error;
  std::vector<std::string> paths;
  for (const auto& entry :
       std::filesystem::directory_iterator(aFolder, error)) {
    if (entry.path().extension() == ".json") {
      paths.push_back(entry.path().string());
    }
  }
  if (error) {
    return Failure(Step::ReadServiceFile, aFolder, error.message());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

} // namespace bilberryfield
