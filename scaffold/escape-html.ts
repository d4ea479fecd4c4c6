/**
 * @param text - any text.
 * @returns the text as it stands in the content of an HTML element.
 */
export function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
