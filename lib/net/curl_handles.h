/// \file
/// Owners of libcurl handles.

#ifndef TEASELHILL_LIB_NET_CURL_HANDLES_H_
#define TEASELHILL_LIB_NET_CURL_HANDLES_H_

#include <curl/curl.h>

#include <memory>

namespace teaselhill::net {

struct CurlEasyDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct CurlMultiDeleter {
  void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};
struct CurlListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using CurlEasy = std::unique_ptr<CURL, CurlEasyDeleter>;
using CurlMulti = std::unique_ptr<CURLM, CurlMultiDeleter>;
using CurlList = std::unique_ptr<curl_slist, CurlListDeleter>;

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_CURL_HANDLES_H_
