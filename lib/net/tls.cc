/// \file
/// OpenSSL contexts from PEM files.

#include "teaselhill/net/tls.h"

#include <asio/ssl.hpp>
#include <fstream>
#include <sstream>

#include "teaselhill/support/hash.h"

namespace teaselhill::net {

namespace {

Result<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf()))
    return {ResultCode::kFileUnreadable, name + ": cannot be read"};
  return content.str();
}

/// Contents of all files. They are read once, so that the check and the context
/// cannot see different versions.
struct TlsMaterial {
  std::string certificate;
  std::string key;
  std::string ca;

  std::string Stamp() const {
    return Sha256Hex(certificate) + Sha256Hex(key) + Sha256Hex(ca);
  }
};

Result<TlsMaterial> ReadMaterial(const TlsFiles& files) {
  TlsMaterial material;
  const std::pair<const std::string*, std::string*> parts[] = {
      {&files.certificate, &material.certificate},
      {&files.key, &material.key},
      {&files.ca, &material.ca}};
  for (const auto& [name, content] : parts) {
    if (name->empty())
      continue;
    Result<std::string> read = ReadFile(*name);
    if (!read)
      return read.error();
    *content = std::move(*read);
  }
  return material;
}

Error Invalid(const std::string& name, const std::string& fault) {
  return {ResultCode::kSettingInvalid, name + ": " + fault};
}

Status AddAuthority(asio::ssl::context& context,
                    const TlsFiles& files,
                    const TlsMaterial& material) {
  asio::error_code error;
  context.add_certificate_authority(asio::buffer(material.ca), error);
  if (error || material.ca.find("-----BEGIN ") == std::string::npos)
    return Invalid(files.ca, "holds no certificate in PEM form");
  return Ok{};
}

Result<std::shared_ptr<asio::ssl::context>> MakeContext(
    const TlsFiles& files,
    const TlsMaterial& material,
    PeerCertificate peer) {
  auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls);
  SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_2_VERSION);
  asio::error_code error;
  context->use_certificate_chain(asio::buffer(material.certificate), error);
  if (error)
    return Invalid(files.certificate, "is not a certificate in PEM form");
  context->use_private_key(asio::buffer(material.key), asio::ssl::context::pem,
                           error);
  if (error)
    return Invalid(files.key, "is not the key of " + files.certificate);
  if (SSL_CTX_check_private_key(context->native_handle()) != 1)
    return Invalid(files.key, "is not the key of " + files.certificate);
  if (!files.ca.empty()) {
    const Status added = AddAuthority(*context, files, material);
    if (!added)
      return added.error();
  }
  context->set_verify_mode(peer == PeerCertificate::kRequired
                               ? asio::ssl::verify_peer |
                                     asio::ssl::verify_fail_if_no_peer_cert
                               : asio::ssl::verify_none);
  return context;
}

}  // namespace

Status CheckTlsFiles(const TlsFiles& files) {
  const Result<TlsMaterial> material = ReadMaterial(files);
  if (!material)
    return material.error();
  if (!files.enabled()) {
    asio::ssl::context context(asio::ssl::context::tls_client);
    return files.ca.empty() ? Status(Ok{})
                            : AddAuthority(context, files, *material);
  }
  const auto context =
      MakeContext(files, *material, PeerCertificate::kNotAsked);
  if (!context)
    return context.error();
  return Ok{};
}

Result<std::shared_ptr<TlsContext>> TlsContext::Load(TlsFiles files,
                                                     PeerCertificate peer) {
  std::shared_ptr<TlsContext> context(new TlsContext(std::move(files), peer));
  const Status loaded = context->Reload();
  if (!loaded)
    return loaded.error();
  return context;
}

std::shared_ptr<asio::ssl::context> TlsContext::Current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

Status TlsContext::Reload() {
  const Result<TlsMaterial> material = ReadMaterial(files_);
  if (!material)
    return material.error();
  const auto context = MakeContext(files_, *material, peer_);
  if (!context)
    return context.error();
  const std::lock_guard<std::mutex> lock(mutex_);
  current_ = *context;
  stamp_ = material->Stamp();
  return Ok{};
}

Result<bool> TlsContext::ReloadIfChanged() {
  const Result<TlsMaterial> material = ReadMaterial(files_);
  if (!material)
    return material.error();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stamp_ == material->Stamp())
      return false;
  }
  const Status reloaded = Reload();
  if (!reloaded)
    return reloaded.error();
  return true;
}

}  // namespace teaselhill::net
