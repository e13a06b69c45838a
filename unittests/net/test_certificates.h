/// \file
/// Certificates made at run time, for tests of TLS.

#ifndef TEASELHILL_UNITTESTS_NET_TEST_CERTIFICATES_H_
#define TEASELHILL_UNITTESTS_NET_TEST_CERTIFICATES_H_

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

#include "teaselhill/net/tls.h"

namespace teaselhill::net {

/// A certificate authority with its own temporary directory.
class TestAuthority {
 public:
  TestAuthority() {
    std::string name =
        (std::filesystem::temp_directory_path() / "teaselhill-tls-XXXXXX")
            .string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    directory_ = name;
    key_.reset(EVP_EC_gen("P-256"));
    certificate_ = Make(*key_, "CA:TRUE", "", 1);
    Write("ca.pem", certificate_.get(), nullptr);
  }
  ~TestAuthority() { std::filesystem::remove_all(directory_); }
  TestAuthority(const TestAuthority&) = delete;
  TestAuthority& operator=(const TestAuthority&) = delete;

  /// Writes (or replaces) `name`.pem and `name`.key for an IP number.
  TlsFiles Issue(const std::string& name,
                 long serial = 2,
                 const std::string& address = "127.0.0.1") {
    const Key key(EVP_EC_gen("P-256"));
    const Certificate issued = Make(*key, "CA:FALSE", "IP:" + address, serial);
    Write(name + ".pem", issued.get(), nullptr);
    Write(name + ".key", nullptr, key.get());
    return {Path(name + ".pem"), Path(name + ".key"), Path("ca.pem")};
  }

  std::string Path(const std::string& name) const {
    return (directory_ / name).string();
  }

 private:
  struct KeyDeleter {
    void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
  };
  struct CertificateDeleter {
    void operator()(X509* certificate) const { X509_free(certificate); }
  };
  struct FileCloser {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  using Key = std::unique_ptr<EVP_PKEY, KeyDeleter>;
  using Certificate = std::unique_ptr<X509, CertificateDeleter>;

  Certificate Make(EVP_PKEY& key,
                   const std::string& constraints,
                   const std::string& name,
                   long serial) {
    constexpr long kHour = 3600;
    Certificate made(X509_new());
    X509_set_version(made.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), serial);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), -kHour);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), kHour);
    X509_set_pubkey(made.get(), &key);
    const std::string subject = name.empty() ? "test CA" : name;
    X509_NAME_add_entry_by_txt(
        X509_get_subject_name(made.get()), "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>(subject.c_str()), -1, -1, 0);
    X509* issuer = certificate_ ? certificate_.get() : made.get();
    X509_set_issuer_name(made.get(), X509_get_subject_name(issuer));
    AddExtension(*made, NID_basic_constraints, constraints);
    if (!name.empty())
      AddExtension(*made, NID_subject_alt_name, name);
    REQUIRE(X509_sign(made.get(), key_.get(), EVP_sha256()) > 0);
    return made;
  }

  static void AddExtension(X509& certificate,
                           int kind,
                           const std::string& value) {
    X509_EXTENSION* extension =
        X509V3_EXT_conf_nid(nullptr, nullptr, kind, value.c_str());
    REQUIRE(extension != nullptr);
    X509_add_ext(&certificate, extension, -1);
    X509_EXTENSION_free(extension);
  }

  void Write(const std::string& name, X509* certificate, EVP_PKEY* key) {
    const std::unique_ptr<std::FILE, FileCloser> file(
        std::fopen(Path(name).c_str(), "w"));
    REQUIRE(file != nullptr);
    if (certificate)
      REQUIRE(PEM_write_X509(file.get(), certificate) == 1);
    if (key)
      REQUIRE(PEM_write_PrivateKey(file.get(), key, nullptr, nullptr, 0,
                                   nullptr, nullptr) == 1);
  }

  std::filesystem::path directory_;
  Key key_;
  Certificate certificate_;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_UNITTESTS_NET_TEST_CERTIFICATES_H_
