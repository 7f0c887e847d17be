package org.sequoiahub.node.forward;

import java.util.List;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahub.schema.wire.HeaderField;
import org.sequoiahub.schema.wire.ResponseHead;

/** Converts between the headers of HTTP messages and those of messages between hosts. */
final class HeaderFields {

  private HeaderFields() {}

  static List<HeaderField> encode(HttpFields fields) {
    return fields.stream()
        .map(
            field ->
                HeaderField.newBuilder()
                    .setName(field.getName())
                    .setValue(field.getValue() == null ? "" : field.getValue())
                    .build())
        .toList();
  }

  static HttpFields decode(List<HeaderField> fields) {
    HttpFields.Mutable decoded = HttpFields.build();
    fields.forEach(field -> decoded.add(new HttpField(field.getName(), field.getValue())));
    return decoded;
  }

  static ResponseHead head(int status, HttpFields fields, boolean whole) {
    return ResponseHead.newBuilder()
        .setStatus(status)
        .addAllHeaders(encode(fields))
        .setWhole(whole)
        .build();
  }
}
